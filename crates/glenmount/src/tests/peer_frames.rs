//! Frames between controllers.

use super::{check_lines, in_time, listener};
use crate::peer_link::{receive_heartbeats, send_heartbeats};
use glenmount_core::controller::{Event, PeerHeartbeat};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The heartbeat that a controller reads of a frame, if it does not close the connection instead.
async fn heard(length: u32, frame: &[u8]) -> Option<PeerHeartbeat> {
    let listener = listener().await;
    let address = listener.local_addr().expect("an address");
    let (core, mut events) = mpsc::channel(1);
    tokio::spawn(receive_heartbeats(listener, core));
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_u32(length).await.expect("sent");
    // The connection may be closed before all of it is sent.
    let _ = stream.write_all(frame).await;
    tokio::select! {
        event = events.recv() => match event {
            Some(Event::PeerHeartbeat(heartbeat)) => Some(heartbeat),
            other => panic!("not a heartbeat: {other:?}"),
        },
        _ = stream.read_u8() => None,
    }
}

/// The frame that a controller sends for a heartbeat.
async fn told(heartbeat: PeerHeartbeat) -> Vec<u8> {
    let listener = listener().await;
    let (heartbeat_in, heartbeats) = watch::channel(PeerHeartbeat::default());
    let peer = listener.local_addr().expect("an address");
    tokio::spawn(send_heartbeats(peer, heartbeats));
    let (mut stream, _) = listener.accept().await.expect("a connection");
    heartbeat_in.send(heartbeat).expect("a receiver");
    let length = stream.read_u32().await.expect("a length");
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.expect("a frame");
    frame
}

async fn told_again(hex: &str) -> String {
    let frame = bytes_of(hex);
    match in_time(heard(frame.len() as u32, &frame)).await {
        Some(heartbeat) => hex_of(&in_time(told(heartbeat)).await),
        None => "refused".to_string(),
    }
}

#[tokio::test]
async fn frames_of_all_versions_are_read_and_sent_the_same() {
    let sample = include_str!("../../tests/samples/peer_frames.tsv");
    check_lines("peer_frames.tsv", sample, |columns| async move {
        told_again(columns[1]).await
    })
    .await;
    for line in sample.lines() {
        let columns: Vec<&str> = line.split('\t').collect();
        assert_eq!(columns[1], columns[2], "{}", columns[0]);
    }
}

#[tokio::test]
async fn frames_of_later_versions_are_read_as_far_as_they_are_known_and_damaged_ones_refused() {
    let sample = include_str!("../../tests/samples/peer_frames_of_others.tsv");
    check_lines("peer_frames_of_others.tsv", sample, |columns| async move {
        told_again(columns[1]).await
    })
    .await;
}

#[tokio::test]
async fn frames_of_two_mebibytes_are_read_and_longer_ones_refused() {
    const MOST: usize = 2 * 1024 * 1024;
    // An array of seven: a name, then a time, three times no, and nothing heard or remembered.
    let frame = |bytes: usize| {
        let rest = [0, 0xc2, 0xc2, 0x90, 0xc2, 0x90];
        let name = bytes - rest.len() - 6;
        let mut frame = vec![0x97, 0xdb];
        frame.extend((name as u32).to_be_bytes());
        frame.resize(6 + name, b'x');
        frame.extend(rest);
        frame
    };
    let longest = frame(MOST);
    let heartbeat = in_time(heard(MOST as u32, &longest)).await;
    let heartbeat = heartbeat.expect("a heartbeat");
    assert!(in_time(told(heartbeat)).await == longest);
    let longer = frame(MOST + 1);
    assert_eq!(in_time(heard(longer.len() as u32, &longer)).await, None);
    assert_eq!(in_time(heard(u32::MAX, &[])).await, None);
}
