//! The link between controllers: length-prefixed MessagePack frames, one way per connection.
//!
//! Each controller sends its heartbeats to all its peers; nothing is answered.

mod connections;
mod frames;

use crate::timings::PEER_FRAMES;
use connections::{PeerConnection, PeerConnections};
use frames::read_heartbeat;
use glenmount_core::constants::PEER_HEARTBEAT_INTERVAL_MS;
use glenmount_core::controller::{Event, PeerHeartbeat};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Duration};

/// Bytes of a frame at most: about 1,000 machines with 64 images each.
const FRAME_BYTES: u32 = 2 * 1024 * 1024;
/// A peer that sends nothing for so long has to connect again.
const READ_TIMEOUT: Duration = Duration::from_millis(PEER_HEARTBEAT_INTERVAL_MS * 20);
/// Time to connect or to send before the connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_millis(PEER_HEARTBEAT_INTERVAL_MS * 4);
/// Pause after a connection was lost or refused.
const RECONNECT_PAUSE: Duration = Duration::from_millis(PEER_HEARTBEAT_INTERVAL_MS);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Connections from peers held at once.
const CONNECTIONS: usize = 64;

/// Receives the heartbeats of all peers and passes them to the core. The connections end with it.
pub async fn receive_heartbeats(listener: TcpListener, core: mpsc::Sender<Event>) {
    let connections = PeerConnections::default();
    let slots = Arc::new(Semaphore::new(CONNECTIONS));
    let mut tasks = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let (core, connections) = (core.clone(), connections.clone());
        tasks.spawn(async move {
            let _slot = slot;
            serve(stream, core, &connections).await;
        });
    }
}

/// Serves one connection until it ends. The core is told when that was the peer's last one.
async fn serve(stream: TcpStream, core: mpsc::Sender<Event>, connections: &PeerConnections) {
    let mut connection = None;
    if let Err(error) = receive(stream, &core, connections, &mut connection).await {
        tracing::debug!(%error, "a sibling's connection ended");
    }
    if let Some(controller) = connection.and_then(PeerConnection::end) {
        let _ = core.send(Event::LinkEnded { controller }).await;
    }
}

/// Passes heartbeats to the core. `connection` is set once the first one has named the peer.
async fn receive(
    mut stream: TcpStream,
    core: &mpsc::Sender<Event>,
    connections: &PeerConnections,
    connection: &mut Option<PeerConnection>,
) -> io::Result<()> {
    loop {
        let frame = read_frame(&mut stream).await?;
        let heartbeat = PEER_FRAMES
            .time(|| read_heartbeat(&frame))
            .ok_or(io::ErrorKind::InvalidData)?;
        if connection.is_none() {
            *connection = Some(connections.begin(&heartbeat.controller));
        }
        if core.send(Event::PeerHeartbeat(heartbeat)).await.is_err() {
            return Ok(());
        }
    }
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let bytes = timeout(READ_TIMEOUT, stream.read_u32()).await??;
    if bytes > FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; bytes as usize];
    timeout(READ_TIMEOUT, stream.read_exact(&mut frame)).await??;
    Ok(frame)
}

/// Keeps sending the latest heartbeat to a peer. Heartbeats that could not be sent are skipped.
pub async fn send_heartbeats(address: SocketAddr, mut heartbeats: watch::Receiver<PeerHeartbeat>) {
    loop {
        let connected = timeout(WRITE_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            send_until_closed(stream, &mut heartbeats).await;
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// Sends heartbeats until the connection can't be used any more.
async fn send_until_closed(mut stream: TcpStream, heartbeats: &mut watch::Receiver<PeerHeartbeat>) {
    let _ = stream.set_nodelay(true);
    while heartbeats.changed().await.is_ok() {
        let written = PEER_FRAMES.time(|| rmp_serde::to_vec(&*heartbeats.borrow_and_update()));
        let Ok(frame) = written else {
            continue;
        };
        // A peer that received nothing for long, as after this process was paused, has closed the
        // connection: what is written to it may vanish unnoticed.
        if stream.try_read(&mut [0]).is_ok() {
            heartbeats.mark_changed();
            return;
        }
        let sent = timeout(WRITE_TIMEOUT, write_frame(&mut stream, &frame)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_u32(frame.len() as u32).await?;
    stream.write_all(frame).await
}

#[cfg(test)]
mod tests;
