//! The link between controller controllers: length-prefixed MessagePack frames, one way per
//! connection. Each controller tells its peers what it hears; nothing is answered.

mod connections;
mod frames;

use crate::timings::PEER_FRAMES;
use connections::{PeerConnection, PeerConnections};
use frames::read;
use glenmount_core::constants::PEER_HEARTBEAT_MS;
use glenmount_core::controller::{Event, PeerHeartbeat};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Duration};

/// Bytes of a frame at most: about 1,000 machines with 64 images each.
const FRAME_BYTES: u32 = 2 * 1024 * 1024;
/// A peer that sends nothing for so long has to connect again.
const QUIET: Duration = Duration::from_millis(PEER_HEARTBEAT_MS * 20);
/// Time to connect or to send before the connection is given up.
const PATIENCE: Duration = Duration::from_millis(PEER_HEARTBEAT_MS * 4);
/// Connections from peers held at once.
const CONNECTIONS: usize = 64;

pub fn listen(listener: TcpListener, core: mpsc::Sender<Event>) {
    let links = PeerConnections::default();
    let slots = std::sync::Arc::new(tokio::sync::Semaphore::new(CONNECTIONS));
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            let Ok(slot) = slots.clone().try_acquire_owned() else {
                continue;
            };
            let (core, links) = (core.clone(), links.clone());
            tokio::spawn(async move {
                let _slot = slot;
                let mut link = None;
                if let Err(error) = receive(stream, &core, &links, &mut link).await {
                    tracing::debug!(%error, "a sibling's connection ended");
                }
                if let Some(controller) = link.and_then(PeerConnection::ends) {
                    let _ = core.send(Event::LinkEnded { controller }).await;
                }
            });
        }
    });
}

async fn receive(
    mut stream: TcpStream,
    core: &mpsc::Sender<Event>,
    links: &PeerConnections,
    link: &mut Option<PeerConnection>,
) -> std::io::Result<()> {
    loop {
        let len = timeout(QUIET, stream.read_u32()).await??;
        if len > FRAME_BYTES {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        let mut frame = vec![0; len as usize];
        timeout(QUIET, stream.read_exact(&mut frame)).await??;
        let heartbeat = PEER_FRAMES
            .time(|| read(&frame))
            .ok_or(std::io::ErrorKind::InvalidData)?;
        if link.is_none() {
            *link = Some(links.begins(&heartbeat.controller));
        }
        if core.send(Event::PeerHeartbeat(heartbeat)).await.is_err() {
            return Ok(());
        }
    }
}

/// Keeps sending the latest heartbeat to a peer. Heartbeats that could not be sent are skipped.
pub fn tell(addr: SocketAddr, mut heartbeats: watch::Receiver<PeerHeartbeat>) {
    tokio::spawn(async move {
        loop {
            let connected = timeout(PATIENCE, TcpStream::connect(addr)).await;
            if let Ok(Ok(mut stream)) = connected {
                let _ = stream.set_nodelay(true);
                while heartbeats.changed().await.is_ok() {
                    let written =
                        PEER_FRAMES.time(|| rmp_serde::to_vec(&*heartbeats.borrow_and_update()));
                    let Ok(frame) = written else {
                        continue;
                    };
                    // A peer that heard nothing for long, as after this process was paused,
                    // has closed the connection: what is written to it may vanish unnoticed.
                    if stream.try_read(&mut [0]).is_ok() {
                        heartbeats.mark_changed();
                        break;
                    }
                    let send = async {
                        stream.write_u32(frame.len() as u32).await?;
                        stream.write_all(&frame).await
                    };
                    if !matches!(timeout(PATIENCE, send).await, Ok(Ok(()))) {
                        break;
                    }
                }
            }
            sleep(Duration::from_millis(PEER_HEARTBEAT_MS)).await;
        }
    });
}

#[cfg(test)]
mod tests;
