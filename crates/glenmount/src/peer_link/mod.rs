//! The links between controllers. Each controller sends its heartbeats to each peer over a one-way
//! connection, as length-prefixed MessagePack frames without responses.

mod connections;
mod frames;

use crate::timings::PEER_FRAMES;
use connections::{PeerConnection, PeerConnections};
use frames::read_heartbeat;
use glenmount_core::constants::messages::PEER_FRAME_MAX_BYTES;
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

/// Time without a frame after which the connection of a peer is closed.
const READ_TIMEOUT: Duration = Duration::from_millis(PEER_HEARTBEAT_INTERVAL_MS * 20);
/// Timeout of connecting to a peer and of sending a frame.
const WRITE_TIMEOUT: Duration = Duration::from_millis(PEER_HEARTBEAT_INTERVAL_MS * 4);
/// Pause before reconnecting after a connection was lost or refused.
const RECONNECT_PAUSE: Duration = Duration::from_millis(PEER_HEARTBEAT_INTERVAL_MS);
/// Pause after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Most connections from peers that are open at once.
const MAX_CONNECTIONS: usize = 64;

/// Receives the heartbeats of all peers and passes them to the core. Dropping the future closes the connections.
pub async fn receive_heartbeats(listener: TcpListener, core: mpsc::Sender<Event>) {
    let connections = PeerConnections::default();
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
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

/// Serves one connection until it ends, and notifies the core if it was the peer's last connection.
async fn serve(stream: TcpStream, core: mpsc::Sender<Event>, connections: &PeerConnections) {
    let mut connection = None;
    if let Err(error) = receive(stream, &core, connections, &mut connection).await {
        tracing::debug!(%error, "peer connection ended");
    }
    if let Some(controller) = connection.and_then(PeerConnection::unregister) {
        let _ = core.send(Event::LinkEnded { controller }).await;
    }
}

/// Passes heartbeats to the core. Sets `connection` once the first heartbeat has named the peer.
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
            *connection = Some(connections.register(&heartbeat.controller));
        }
        if core.send(Event::PeerHeartbeat(heartbeat)).await.is_err() {
            return Ok(());
        }
    }
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length_bytes = timeout(READ_TIMEOUT, stream.read_u32()).await??;
    if length_bytes as usize > PEER_FRAME_MAX_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length_bytes as usize];
    timeout(READ_TIMEOUT, stream.read_exact(&mut frame)).await??;
    Ok(frame)
}

/// Sends each new heartbeat to a peer and reconnects when needed. Skips heartbeats that could not be sent.
pub async fn send_heartbeats(address: SocketAddr, mut heartbeats: watch::Receiver<PeerHeartbeat>) {
    loop {
        let connected = timeout(WRITE_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            send_until_closed(stream, &mut heartbeats).await;
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// Sends heartbeats until the connection fails or the peer closes it.
async fn send_until_closed(mut stream: TcpStream, heartbeats: &mut watch::Receiver<PeerHeartbeat>) {
    let _ = stream.set_nodelay(true);
    while heartbeats.changed().await.is_ok() {
        let serialized = PEER_FRAMES.time(|| rmp_serde::to_vec(&*heartbeats.borrow_and_update()));
        let Ok(frame) = serialized else {
            continue;
        };
        // A peer closes a connection on which it received nothing for `READ_TIMEOUT`, for example while
        // this process was paused. A write to a closed connection may succeed and the frame be lost.
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
