//! The link between controller controllers: length-prefixed MessagePack frames, one way per
//! connection. Each controller tells its peers what it hears; nothing is answered.

use crate::costs::FRAMES;
use glenmount_core::constants::PEER_HEARTBEAT_MS;
use glenmount_core::controller::{ControllerStatus, Event, PeerHeartbeat};
use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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
/// Nesting of a frame at most: a heartbeat has four levels.
const FRAME_DEPTH: usize = 16;
/// Connections from peers held at once.
const CONNECTIONS: usize = 64;

/// Links by which each peer tells its heartbeats: its end shows when the last of them ends.
#[derive(Clone, Default)]
struct Links(Arc<Mutex<HashMap<String, usize>>>);

/// One link, from the first heartbeat on that named its peer.
struct Link {
    links: Links,
    controller: String,
}

impl Links {
    fn all(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn begins(&self, controller: &str) -> Link {
        *self.all().entry(controller.to_string()).or_default() += 1;
        Link {
            links: self.clone(),
            controller: controller.to_string(),
        }
    }
}

impl Link {
    /// The peer, if this was its last link.
    fn ends(self) -> Option<String> {
        let mut links = self.links.all();
        let left = links.get_mut(&self.controller)?;
        *left -= 1;
        if *left > 0 {
            return None;
        }
        links.remove(&self.controller);
        drop(links);
        Some(self.controller)
    }
}

pub fn listen(listener: TcpListener, core: mpsc::Sender<Event>) {
    let links = Links::default();
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
                if let Some(controller) = link.and_then(Link::ends) {
                    let _ = core.send(Event::LinkEnded { controller }).await;
                }
            });
        }
    });
}

/// What a controller says of itself, as far as this version knows it; what a later one says in its place
/// is passed over.
struct Heeded(Option<ControllerStatus>);

impl<'de> Deserialize<'de> for Heeded {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Heeded, D::Error> {
        struct Elements;
        impl<'de> Visitor<'de> for Elements {
            type Value = Heeded;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("what a node says of itself")
            }
            fn visit_bool<E>(self, _: bool) -> Result<Heeded, E> {
                Ok(Heeded(None))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Heeded, A::Error> {
                macro_rules! next {
                    () => {
                        match seq.next_element()? {
                            Some(value) => value,
                            None => return Ok(Heeded(None)),
                        }
                    };
                }
                let said = ControllerStatus {
                    life: next!(),
                    count: next!(),
                    revision: next!(),
                    term: next!(),
                    under_way: next!(),
                    tick_delay_ms: next!(),
                    reports: next!(),
                    heard_peers: next!(),
                    // Versions before format 4 do not say it.
                    configuration: seq.next_element()?.unwrap_or(0),
                };
                while seq.next_element::<IgnoredAny>()?.is_some() {}
                Ok(Heeded(Some(said)))
            }
        }
        d.deserialize_any(Elements)
    }
}

/// A frame's heartbeat. Frames are arrays: versions before format 2 refuse one with an element more, so
/// a heartbeat gets new ones only once every controller has that format; whatever follows those that are known
/// here is passed over.
fn read(frame: &[u8]) -> Option<PeerHeartbeat> {
    struct Elements;
    impl<'de> Visitor<'de> for Elements {
        type Value = PeerHeartbeat;
        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            f.write_str("the elements of a beat")
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<PeerHeartbeat, A::Error> {
            macro_rules! next {
                ($at:literal) => {
                    (seq.next_element()?).ok_or_else(|| Error::invalid_length($at, &self))?
                };
            }
            let heartbeat = PeerHeartbeat {
                controller: next!(0),
                at: next!(1),
                has_current_state: next!(2),
                workers_reachable: next!(3),
                workers: next!(4),
                just_started: next!(5),
                images: next!(6),
                status: seq.next_element::<Heeded>()?.and_then(|said| said.0),
            };
            while seq.next_element::<IgnoredAny>()?.is_some() {}
            Ok(heartbeat)
        }
    }
    let mut bytes = rmp_serde::Deserializer::from_read_ref(frame);
    bytes.set_max_depth(FRAME_DEPTH);
    serde::Deserializer::deserialize_seq(&mut bytes, Elements).ok()
}

async fn receive(
    mut stream: TcpStream,
    core: &mpsc::Sender<Event>,
    links: &Links,
    link: &mut Option<Link>,
) -> std::io::Result<()> {
    loop {
        let len = timeout(QUIET, stream.read_u32()).await??;
        if len > FRAME_BYTES {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        let mut frame = vec![0; len as usize];
        timeout(QUIET, stream.read_exact(&mut frame)).await??;
        let heartbeat = FRAMES
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
                        FRAMES.time(|| rmp_serde::to_vec(&*heartbeats.borrow_and_update()));
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
mod tests {
    use super::*;

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
    fn beats_stay_as_old_nodes_send_and_read_them_and_may_grow_later() {
        let digits = SAMPLE.as_bytes().chunks(2);
        let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
        let frame: Vec<u8> = digits.map(byte).collect();
        let sample = read(&frame).unwrap();
        assert_eq!(
            (sample.controller.as_str(), sample.at),
            ("bothy-1", 1_700_000_000_000)
        );
        assert_eq!(
            sample.workers,
            [("n-000231".to_string(), 1, 88, 120).into()]
        );
        assert!(sample.has_current_state && sample.workers_reachable && sample.just_started);
        assert_eq!(sample.images[0].1, [("img-07".to_string(), 1.5)]);
        assert_eq!(rmp_serde::to_vec(&sample).unwrap(), frame);
        // A later version's, with two elements more.
        let mut longer = frame.clone();
        longer[0] += 2;
        longer.extend([0xc3, 0x92, 0x01, 0xc0]);
        assert_eq!(read(&longer), Some(sample.clone()));
        assert!(rmp_serde::from_slice::<PeerHeartbeat>(&longer).is_err());
        // This version's, and one that says more of itself.
        let said = ControllerStatus {
            life: 7,
            count: 3,
            heard_peers: vec!["bothy-2".into()],
            ..ControllerStatus::default()
        };
        let said = PeerHeartbeat {
            status: Some(said),
            ..sample
        };
        let frame = rmp_serde::to_vec(&said).unwrap();
        assert_eq!((frame[0], read(&frame)), (0x98, Some(said.clone())));
        let at = frame.iter().rposition(|b| *b == 0x99).unwrap();
        let mut longer = frame.clone();
        longer[at] += 1;
        longer.push(0xc0);
        assert_eq!(read(&longer), Some(said));
        for broken in [&frame[..9], &[], &[0x91, 0xc3], b"{}"] {
            assert_eq!(read(broken), None);
        }
    }

    /// A peer that was paused was not heard again by those that had closed its connections.
    #[tokio::test(flavor = "current_thread")]
    async fn a_beat_follows_the_sibling_to_a_new_connection() {
        let story = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (beat_in, heartbeats) = watch::channel(PeerHeartbeat::default());
            tell(listener.local_addr().unwrap(), heartbeats);
            let (first, _) = listener.accept().await.unwrap();
            let (core, mut events) = mpsc::channel(8);
            beat_in.send(heartbeat("a")).unwrap();
            tokio::spawn(async move {
                let mut first = first;
                let len = first.read_u32().await.unwrap();
                first.read_exact(&mut vec![0; len as usize]).await.unwrap();
            });
            sleep(Duration::from_millis(50)).await;
            listen(listener, core);
            beat_in.send(heartbeat("b")).unwrap();
            let heard = events.recv().await;
            assert!(matches!(heard, Some(Event::PeerHeartbeat(b)) if b.controller == "b"));
        };
        timeout(Duration::from_secs(5), story)
            .await
            .expect("the beat arrives");
    }

    /// A peer that ends is known to have ended at once, not when its heartbeats are missed; one that
    /// only connects anew is not.
    #[tokio::test(flavor = "current_thread")]
    async fn the_end_of_a_siblings_last_link_is_told() {
        let story = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            let (core, mut events) = mpsc::channel(8);
            listen(listener, core);
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
        timeout(Duration::from_secs(5), story)
            .await
            .expect("the end is told");
    }
}
