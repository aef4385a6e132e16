//! Frames between controllers, and the connections that carry them.

use super::frames::read_heartbeat;
use super::{receive_heartbeats, send_heartbeats};
use glenmount_core::controller::{ControllerStatus, Event, PeerHeartbeat};
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

/// As the version before format 2 sends it.
const SAMPLE: &str = "97a7626f7468792d31cf0000018bcfe56800c3c39194a86e2d303030323331015878c391\
    92a86e2d3030303233319192a6696d672d3037cb3ff8000000000000";

#[test]
fn heartbeats_stay_as_old_versions_send_and_read_them_and_may_grow_later() {
    let digits = SAMPLE.as_bytes().chunks(2);
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
    // A later version's, with two elements more.
    let mut longer = frame.clone();
    longer[0] += 2;
    longer.extend([0xc3, 0x92, 0x01, 0xc0]);
    assert_eq!(read_heartbeat(&longer), Some(sample.clone()));
    assert!(rmp_serde::from_slice::<PeerHeartbeat>(&longer).is_err());
    // This version's, and one that says more of itself.
    let said = ControllerStatus {
        process_started_at: 7,
        sequence: 3,
        heard_peers: vec!["bothy-2".into()],
        ..ControllerStatus::default()
    };
    let said = PeerHeartbeat {
        status: Some(said),
        ..sample
    };
    let frame = rmp_serde::to_vec(&said).unwrap();
    assert_eq!(
        (frame[0], read_heartbeat(&frame)),
        (0x98, Some(said.clone()))
    );
    let at = frame.iter().rposition(|b| *b == 0x99).unwrap();
    let mut longer = frame.clone();
    longer[at] += 1;
    longer.push(0xc0);
    assert_eq!(read_heartbeat(&longer), Some(said));
    for broken in [&frame[..9], &[], &[0x91, 0xc3], b"{}"] {
        assert_eq!(read_heartbeat(broken), None);
    }
}

/// A peer that was paused was not heard again by those that had closed its connections.
#[tokio::test(flavor = "current_thread")]
async fn a_heartbeat_follows_the_peer_to_a_new_connection() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (sender, heartbeats) = watch::channel(PeerHeartbeat::default());
        tokio::spawn(send_heartbeats(listener.local_addr().unwrap(), heartbeats));
        let (first, _) = listener.accept().await.unwrap();
        let (core, mut events) = mpsc::channel(8);
        sender.send(heartbeat("a")).unwrap();
        tokio::spawn(async move {
            let mut first = first;
            let len = first.read_u32().await.unwrap();
            first.read_exact(&mut vec![0; len as usize]).await.unwrap();
        });
        sleep(Duration::from_millis(50)).await;
        tokio::spawn(receive_heartbeats(listener, core));
        sender.send(heartbeat("b")).unwrap();
        let heard = events.recv().await;
        assert!(matches!(heard, Some(Event::PeerHeartbeat(b)) if b.controller == "b"));
    };
    timeout(Duration::from_secs(5), scenario)
        .await
        .expect("the heartbeat arrives");
}

/// A peer that ends is known to have ended at once, not when its heartbeats are missed; one that
/// only connects anew is not.
#[tokio::test(flavor = "current_thread")]
async fn the_end_of_a_peers_last_connection_is_told() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (core, mut events) = mpsc::channel(8);
        tokio::spawn(receive_heartbeats(listener, core));
        let mut links = Vec::new();
        let frame = rmp_serde::to_vec(&heartbeat("a")).unwrap();
        for _ in 0..2 {
            let mut link = TcpStream::connect(addr).await.unwrap();
            link.write_u32(frame.len() as u32).await.unwrap();
            link.write_all(&frame).await.unwrap();
            assert!(matches!(events.recv().await, Some(Event::PeerHeartbeat(_))));
            links.push(link);
        }
        // A stranger's link names nobody.
        drop(TcpStream::connect(addr).await.unwrap());
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
        .expect("the end is told");
}
