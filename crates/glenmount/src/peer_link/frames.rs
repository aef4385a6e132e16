//! Reads heartbeats of peers, which are MessagePack arrays.
//!
//! Versions before format 2 reject a frame with additional elements, so a heartbeat gets new elements only
//! once every controller has that format. This version skips elements that it doesn't know.

use glenmount_core::controller::{ControllerStatus, PeerHeartbeat};
use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use std::fmt;

/// Limit of the nesting depth of a frame; a heartbeat has four levels.
const MAX_FRAME_DEPTH: usize = 16;

/// Reads the heartbeat in a frame. Returns `None` if the frame is malformed.
pub fn read_heartbeat(frame: &[u8]) -> Option<PeerHeartbeat> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(frame);
    deserializer.set_max_depth(MAX_FRAME_DEPTH);
    deserializer.deserialize_seq(HeartbeatVisitor).ok()
}

/// Skips the elements that a later version appended.
fn skip_unknown_elements<'de, A: SeqAccess<'de>>(mut elements: A) -> Result<(), A::Error> {
    while elements.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}

struct HeartbeatVisitor;

impl<'de> Visitor<'de> for HeartbeatVisitor {
    type Value = PeerHeartbeat;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the elements of a heartbeat")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<PeerHeartbeat, A::Error> {
        macro_rules! required {
            ($index:literal) => {
                (elements.next_element()?).ok_or_else(|| Error::invalid_length($index, &self))?
            };
        }
        let heartbeat = PeerHeartbeat {
            controller: required!(0),
            sent_at: required!(1),
            has_current_state: required!(2),
            workers_reachable: required!(3),
            workers: required!(4),
            just_started: required!(5),
            cached_images: required!(6),
            status: elements
                .next_element::<KnownStatus>()?
                .and_then(|status| status.0),
        };
        skip_unknown_elements(elements)?;
        Ok(heartbeat)
    }
}

/// The status of a controller, absent if a later version sent another type or fewer elements in its place.
struct KnownStatus(Option<ControllerStatus>);

impl<'de> Deserialize<'de> for KnownStatus {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<KnownStatus, D::Error> {
        deserializer.deserialize_any(StatusVisitor)
    }
}

struct StatusVisitor;

impl<'de> Visitor<'de> for StatusVisitor {
    type Value = KnownStatus;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the status of a controller")
    }

    fn visit_bool<E>(self, _: bool) -> Result<KnownStatus, E> {
        Ok(KnownStatus(None))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<KnownStatus, A::Error> {
        macro_rules! required {
            () => {
                match elements.next_element()? {
                    Some(value) => value,
                    None => return Ok(KnownStatus(None)),
                }
            };
        }
        let status = ControllerStatus {
            process_started_at: required!(),
            sequence: required!(),
            revision: required!(),
            term: required!(),
            outstanding_operations: required!(),
            tick_delay_ms: required!(),
            reporting_workers: required!(),
            heard_peers: required!(),
            // Versions before format 4 don't send this element.
            configuration: elements.next_element()?.unwrap_or(0),
        };
        skip_unknown_elements(elements)?;
        Ok(KnownStatus(Some(status)))
    }
}
