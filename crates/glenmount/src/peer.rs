//! The link between controller nodes: length-prefixed MessagePack frames, one way per
//! connection. Each node tells its siblings what it hears; nothing is answered.

use glenmount_core::constants::PEER_BEAT_MS;
use glenmount_core::node::{Beat, Event};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Duration};

/// Bytes of a frame at most: about 1,000 machines with 64 images each.
const FRAME_BYTES: u32 = 2 * 1024 * 1024;
/// A sibling that sends nothing for so long has to connect again.
const QUIET: Duration = Duration::from_millis(PEER_BEAT_MS * 20);
/// Time to connect or to send before the connection is given up.
const PATIENCE: Duration = Duration::from_millis(PEER_BEAT_MS * 4);
/// Connections from siblings held at once.
const CONNECTIONS: usize = 64;

pub fn listen(listener: TcpListener, core: mpsc::Sender<Event>) {
    let slots = std::sync::Arc::new(tokio::sync::Semaphore::new(CONNECTIONS));
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            let Ok(slot) = slots.clone().try_acquire_owned() else {
                continue;
            };
            let core = core.clone();
            tokio::task::spawn_local(async move {
                let _slot = slot;
                if let Err(error) = receive(stream, core).await {
                    tracing::debug!(%error, "a sibling's connection ended");
                }
            });
        }
    });
}

async fn receive(mut stream: TcpStream, core: mpsc::Sender<Event>) -> std::io::Result<()> {
    loop {
        let len = timeout(QUIET, stream.read_u32()).await??;
        if len > FRAME_BYTES {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        let mut frame = vec![0; len as usize];
        timeout(QUIET, stream.read_exact(&mut frame)).await??;
        let beat: Beat = rmp_serde::from_slice(&frame)
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
        if core.send(Event::Beat(beat)).await.is_err() {
            return Ok(());
        }
    }
}

/// Keeps sending the latest beat to a sibling. Beats that could not be sent are skipped.
pub fn tell(addr: SocketAddr, mut beats: watch::Receiver<Beat>) {
    tokio::task::spawn_local(async move {
        loop {
            let connected = timeout(PATIENCE, TcpStream::connect(addr)).await;
            if let Ok(Ok(mut stream)) = connected {
                let _ = stream.set_nodelay(true);
                while beats.changed().await.is_ok() {
                    let Ok(frame) = rmp_serde::to_vec(&*beats.borrow_and_update()) else {
                        continue;
                    };
                    // A sibling that heard nothing for long, as after this process stood still,
                    // has closed the connection: what is written to it may vanish unnoticed.
                    if stream.try_read(&mut [0]).is_ok() {
                        beats.mark_changed();
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
            sleep(Duration::from_millis(PEER_BEAT_MS)).await;
        }
    });
}

#[cfg(test)]
mod tests {
    use super::*;

    fn beat(node: &str) -> Beat {
        Beat {
            node: node.into(),
            ..Beat::default()
        }
    }

    /// A sibling that stood still was not heard again by those that had closed its connections.
    #[tokio::test(flavor = "current_thread")]
    async fn a_beat_follows_the_sibling_to_a_new_connection() {
        let local = tokio::task::LocalSet::new();
        let story = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (beat_in, beats) = watch::channel(Beat::default());
            tell(listener.local_addr().unwrap(), beats);
            let (first, _) = listener.accept().await.unwrap();
            let (core, mut events) = mpsc::channel(8);
            beat_in.send(beat("a")).unwrap();
            tokio::task::spawn_local(async move {
                let mut first = first;
                let len = first.read_u32().await.unwrap();
                first.read_exact(&mut vec![0; len as usize]).await.unwrap();
            });
            sleep(Duration::from_millis(50)).await;
            listen(listener, core);
            beat_in.send(beat("b")).unwrap();
            let heard = events.recv().await;
            assert!(matches!(heard, Some(Event::Beat(b)) if b.node == "b"));
        };
        timeout(Duration::from_secs(5), local.run_until(story))
            .await
            .expect("the beat arrives");
    }
}
