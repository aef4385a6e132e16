//! Compares the frames between controllers with samples.

use super::{check_lines, in_time, listener};
use crate::peer_link::{receive_heartbeats, send_heartbeats};
use glenmount_core::controller::{Event, PeerHeartbeat};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |start| u8::from_str_radix(&hex[start..start + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the heartbeat that a controller reads from a frame, or `None` if it closes the connection.
async fn receive(length: u32, frame: &[u8]) -> Option<PeerHeartbeat> {
    let listener = listener().await;
    let address = listener.local_addr().expect("an address");
    let (core, mut events) = mpsc::channel(1);
    tokio::spawn(receive_heartbeats(listener, core));
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_u32(length).await.expect("sent");
    // The controller may close the connection before the whole frame is sent.
    let _ = stream.write_all(frame).await;
    tokio::select! {
        event = events.recv() => match event {
            Some(Event::PeerHeartbeat(heartbeat)) => Some(heartbeat),
            other => panic!("not a heartbeat: {other:?}"),
        },
        _ = stream.read_u8() => None,
    }
}

/// Returns the frame that a controller sends for a heartbeat.
async fn send(heartbeat: PeerHeartbeat) -> Vec<u8> {
    let listener = listener().await;
    let (heartbeat_sender, heartbeats) = watch::channel(PeerHeartbeat::default());
    let peer = listener.local_addr().expect("an address");
    tokio::spawn(send_heartbeats(peer, heartbeats));
    let (mut stream, _) = listener.accept().await.expect("a connection");
    heartbeat_sender.send(heartbeat).expect("a receiver");
    let length = stream.read_u32().await.expect("a length");
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.expect("a frame");
    frame
}

/// Returns the frame that a controller sends for the heartbeat that it read from a frame.
async fn receive_and_send(hex: &str) -> String {
    let frame = bytes_of(hex);
    match in_time(receive(frame.len() as u32, &frame)).await {
        Some(heartbeat) => hex_of(&in_time(send(heartbeat)).await),
        None => "refused".to_string(),
    }
}

#[tokio::test]
async fn frames_of_all_versions_are_read_and_sent_unchanged() {
    let sample = include_str!("../../tests/samples/peer_frames.tsv");
    check_lines("peer_frames.tsv", sample, |columns| async move {
        receive_and_send(columns[1]).await
    })
    .await;
    for line in sample.lines() {
        let columns: Vec<&str> = line.split('\t').collect();
        assert_eq!(columns[1], columns[2], "{}", columns[0]);
    }
}

#[tokio::test]
async fn unknown_elements_of_later_versions_are_skipped_and_malformed_frames_rejected() {
    let sample = include_str!("../../tests/samples/peer_frames_of_others.tsv");
    check_lines("peer_frames_of_others.tsv", sample, |columns| async move {
        receive_and_send(columns[1]).await
    })
    .await;
}

#[tokio::test]
async fn frames_up_to_two_mebibytes_are_read_and_longer_ones_rejected() {
    const MAX_BYTES: usize = 2 * 1024 * 1024;
    // An array of seven elements: a name, a time, three false flags and two empty lists, in their order.
    let frame = |bytes: usize| {
        let rest = [0, 0xc2, 0xc2, 0x90, 0xc2, 0x90];
        let name = bytes - rest.len() - 6;
        let mut frame = vec![0x97, 0xdb];
        frame.extend((name as u32).to_be_bytes());
        frame.resize(6 + name, b'x');
        frame.extend(rest);
        frame
    };
    let longest = frame(MAX_BYTES);
    let heartbeat = in_time(receive(MAX_BYTES as u32, &longest)).await;
    let heartbeat = heartbeat.expect("a heartbeat");
    assert!(in_time(send(heartbeat)).await == longest);
    let longer = frame(MAX_BYTES + 1);
    assert_eq!(in_time(receive(longer.len() as u32, &longer)).await, None);
    assert_eq!(in_time(receive(u32::MAX, &[])).await, None);
}
