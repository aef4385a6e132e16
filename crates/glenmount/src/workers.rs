//! Direct commands to workers. Each is sent once; what becomes of it shows in check-ins.

use crate::http::Http;
use glenmount_core::constants::COMMAND_LIMIT_MS;
use glenmount_core::node::Event;
use hyper::Method;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(COMMAND_LIMIT_MS);
/// Bytes of an answer at most: a report of many tasks.
const ANSWER_BYTES: usize = 1 << 20;
/// Commands on their way at once, so that unreachable workers do not use up the sockets.
const IN_FLIGHT: usize = 64;

pub struct Workers {
    http: Http,
    core: mpsc::Sender<Event>,
    slots: Arc<Semaphore>,
}

impl Workers {
    pub fn new(core: mpsc::Sender<Event>) -> Workers {
        Workers {
            http: Http::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), TIMEOUT, true),
            core,
            slots: Arc::new(Semaphore::new(IN_FLIGHT)),
        }
    }

    pub fn send(&self, machine: String, address: &str, body: String) {
        let core = self.core.clone();
        let target = address.parse::<SocketAddr>().ok();
        let slot = self.slots.clone().try_acquire_owned().ok();
        let http = self.http.clone();
        tokio::task::spawn_local(async move {
            let answer = match (target, &slot) {
                (Some(addr), Some(_)) => {
                    let http = http.to(addr);
                    http.call(Method::POST, "/do", Some(body), TIMEOUT, ANSWER_BYTES)
                        .await
                }
                _ => None,
            };
            let status = answer.map(|(status, _)| status);
            if status != Some(200) {
                let refused = status.is_some();
                let _ = core.send(Event::CommandFailed { machine, refused }).await;
            }
        });
    }
}
