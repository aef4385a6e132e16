//! Tests of the frames between controllers and of the connections that carry them.

use super::frames::read_heartbeat;
use super::{receive_heartbeats, send_heartbeats};
use glenmount_core::constants::messages::{PEER_FRAME_MAX_BYTES, PEER_HEARTBEAT_BASE_BYTES};
use glenmount_core::controller::{ControllerStatus, Event, PeerHeartbeat};
use glenmount_core::state::{Key, MachinePhase, MachineRecord, Record, StateCache};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Duration};

fn heartbeat(controller: &str) -> PeerHeartbeat {
    PeerHeartbeat {
        controller: controller.into(),
        ..PeerHeartbeat::default()
    }
}

/// A frame of the version before format 2.
const FORMAT_1_FRAME: &str =
    "97a7626f7468792d31cf0000018bcfe56800c3c39194a86e2d303030323331015878c391\
    92a86e2d3030303233319192a6696d672d3037cb3ff8000000000000";

#[test]
fn heartbeat_frames_are_compatible_with_earlier_and_later_versions() {
    let digits = FORMAT_1_FRAME.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    let frame: Vec<u8> = digits.map(byte).collect();
    let sample = read_heartbeat(&frame).unwrap();
    assert_eq!(
        (sample.controller.as_str(), sample.sent_at),
        ("bothy-1", 1_700_000_000_000)
    );
    assert_eq!(
        sample.workers,
        [("n-000231".to_string(), 1, 88, 120).into()]
    );
    assert!(sample.has_current_state && sample.workers_reachable && sample.just_started);
    assert_eq!(sample.cached_images[0].1, [("img-07".to_string(), 1.5)]);
    assert_eq!(rmp_serde::to_vec(&sample).unwrap(), frame);
    // The frame of a later version, with two additional elements.
    let mut longer = frame.clone();
    longer[0] += 2;
    longer.extend([0xc3, 0x92, 0x01, 0xc0]);
    assert_eq!(read_heartbeat(&longer), Some(sample.clone()));
    assert!(rmp_serde::from_slice::<PeerHeartbeat>(&longer).is_err());
    // A frame of this version with a status, and one of a later version with an additional element in it.
    let status = ControllerStatus {
        process_started_at: 7,
        sequence: 3,
        heard_peers: vec!["bothy-2".into()],
        ..ControllerStatus::default()
    };
    let heartbeat = PeerHeartbeat {
        status: Some(status),
        ..sample
    };
    let frame = rmp_serde::to_vec(&heartbeat).unwrap();
    assert_eq!(
        (frame[0], read_heartbeat(&frame)),
        (0x98, Some(heartbeat.clone()))
    );
    let status_at = frame.iter().rposition(|b| *b == 0x99).unwrap();
    let mut longer = frame.clone();
    longer[status_at] += 1;
    longer.push(0xc0);
    assert_eq!(read_heartbeat(&longer), Some(heartbeat));
    for malformed in [&frame[..9], &[], &[0x91, 0xc3], b"{}"] {
        assert_eq!(read_heartbeat(malformed), None);
    }
}

/// Guards against lost heartbeats after a pause: the peers had closed the connections of the paused controller, and
/// its first heartbeats went to the closed connections.
#[tokio::test(flavor = "current_thread")]
async fn heartbeat_is_sent_again_after_the_peer_closed_the_connection() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (sender, heartbeats) = watch::channel(PeerHeartbeat::default());
        tokio::spawn(send_heartbeats(listener.local_addr().unwrap(), heartbeats));
        let (first, _) = listener.accept().await.unwrap();
        let (core, mut events) = mpsc::channel(8);
        sender.send(heartbeat("a")).unwrap();
        tokio::spawn(async move {
            let mut first = first;
            let length = first.read_u32().await.unwrap();
            first
                .read_exact(&mut vec![0; length as usize])
                .await
                .unwrap();
        });
        sleep(Duration::from_millis(50)).await;
        tokio::spawn(receive_heartbeats(listener, core));
        sender.send(heartbeat("b")).unwrap();
        let received = events.recv().await;
        assert!(matches!(received, Some(Event::PeerHeartbeat(b)) if b.controller == "b"));
    };
    timeout(Duration::from_secs(5), scenario)
        .await
        .expect("the heartbeat arrives");
}

/// The controller learns at once that a peer has ended, without waiting for missed heartbeats. A peer that only
/// reconnects doesn't count as ended.
#[tokio::test(flavor = "current_thread")]
async fn end_of_the_last_connection_of_a_peer_is_reported() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (core, mut events) = mpsc::channel(8);
        tokio::spawn(receive_heartbeats(listener, core));
        let mut links = Vec::new();
        let frame = rmp_serde::to_vec(&heartbeat("a")).unwrap();
        for _ in 0..2 {
            let mut link = TcpStream::connect(address).await.unwrap();
            link.write_u32(frame.len() as u32).await.unwrap();
            link.write_all(&frame).await.unwrap();
            assert!(matches!(events.recv().await, Some(Event::PeerHeartbeat(_))));
            links.push(link);
        }
        // A connection without heartbeats names no peer.
        drop(TcpStream::connect(address).await.unwrap());
        drop(links.pop());
        assert!(timeout(Duration::from_millis(50), events.recv())
            .await
            .is_err());
        drop(links.pop());
        let ended = events.recv().await;
        assert!(matches!(ended, Some(Event::LinkEnded { controller }) if controller == "a"));
    };
    timeout(Duration::from_secs(5), scenario)
        .await
        .expect("the end is reported");
}

/// With thousands of machines the images for a controller that had just started made a frame larger than its receivers
/// read. They closed the connection, and the sender seemed to have failed just when the other was starting.
#[test]
fn the_images_of_thousands_of_machines_fit_into_a_frame() {
    let mut cache = StateCache::default();
    let images: Vec<(String, f64)> = (0..64).map(|n| (format!("img-{n:02}"), 1.5)).collect();
    let hints: Vec<_> = (0..5_000)
        .map(|n| (format!("n-{n:06}"), images.clone()))
        .collect();
    for (revision, (machine, _)) in (1..).zip(&hints) {
        let record = MachineRecord::new("g8", "a", true, MachinePhase::Up, 0);
        cache.put(
            Key::Machine(machine.clone()),
            revision,
            Record::Machine(record),
        );
    }
    cache.merge_image_hints(&hints);
    let max_bytes = PEER_FRAME_MAX_BYTES - PEER_HEARTBEAT_BASE_BYTES;
    let heartbeat = PeerHeartbeat {
        cached_images: cache.image_hints(max_bytes),
        ..heartbeat("bothy-1")
    };
    let frame = rmp_serde::to_vec(&heartbeat).unwrap();
    assert!(frame.len() <= PEER_FRAME_MAX_BYTES, "{} bytes", frame.len());
    assert!(heartbeat.cached_images.len() > 1_400);
}
