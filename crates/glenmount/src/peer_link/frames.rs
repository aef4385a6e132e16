//! The form of heartbeats between controllers: MessagePack arrays.
//!
//! Versions before format 2 refuse a frame with an element more, so a heartbeat gets new ones only
//! once every controller has that format; whatever follows those that are known here is passed over.

use glenmount_core::controller::{ControllerStatus, PeerHeartbeat};
use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use std::fmt;

/// Nesting of a frame at most: a heartbeat has four levels.
const FRAME_DEPTH: usize = 16;

/// Reads a frame's heartbeat; nothing where it is malformed.
pub fn read_heartbeat(frame: &[u8]) -> Option<PeerHeartbeat> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(frame);
    deserializer.set_max_depth(FRAME_DEPTH);
    deserializer.deserialize_seq(HeartbeatVisitor).ok()
}

/// Passes over what a later version appended.
fn skip_rest<'de, A: SeqAccess<'de>>(mut elements: A) -> Result<(), A::Error> {
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
        skip_rest(elements)?;
        Ok(heartbeat)
    }
}

/// A controller's status, as far as this version knows it; what a later one sends in its place is
/// passed over.
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
            // Versions before format 4 do not send it.
            configuration: elements.next_element()?.unwrap_or(0),
        };
        skip_rest(elements)?;
        Ok(KnownStatus(Some(status)))
    }
}
