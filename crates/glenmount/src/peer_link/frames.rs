//! Frames between controllers, as MessagePack arrays.

use glenmount_core::controller::{ControllerStatus, PeerHeartbeat};
use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::Deserialize;

/// Nesting of a frame at most: a heartbeat has four levels.
const FRAME_DEPTH: usize = 16;

/// What a controller says of itself, as far as this version knows it; what a later one says in its place
/// is passed over.
struct KnownStatus(Option<ControllerStatus>);

impl<'de> Deserialize<'de> for KnownStatus {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<KnownStatus, D::Error> {
        struct Elements;
        impl<'de> Visitor<'de> for Elements {
            type Value = KnownStatus;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("what a node says of itself")
            }
            fn visit_bool<E>(self, _: bool) -> Result<KnownStatus, E> {
                Ok(KnownStatus(None))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<KnownStatus, A::Error> {
                macro_rules! next {
                    () => {
                        match seq.next_element()? {
                            Some(value) => value,
                            None => return Ok(KnownStatus(None)),
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
                Ok(KnownStatus(Some(said)))
            }
        }
        d.deserialize_any(Elements)
    }
}

/// A frame's heartbeat. Frames are arrays: versions before format 2 refuse one with an element more, so
/// a heartbeat gets new ones only once every controller has that format; whatever follows those that are known
/// here is passed over.
pub(super) fn read(frame: &[u8]) -> Option<PeerHeartbeat> {
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
                heard: next!(4),
                just_started: next!(5),
                images: next!(6),
                status: seq.next_element::<KnownStatus>()?.and_then(|said| said.0),
            };
            while seq.next_element::<IgnoredAny>()?.is_some() {}
            Ok(heartbeat)
        }
    }
    let mut bytes = rmp_serde::Deserializer::from_read_ref(frame);
    bytes.set_max_depth(FRAME_DEPTH);
    serde::Deserializer::deserialize_seq(&mut bytes, Elements).ok()
}
