//! Direct commands to workers. Each is sent once; what becomes of it shows in check-ins.

use crate::http::Http;
use glenmount_core::constants::COMMAND_LIMIT_MS;
use glenmount_core::node::{Event, Reach};
use hyper::Method;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{timeout, Duration, Instant};

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
        let slots = self.slots.clone();
        let http = self.http.clone();
        let since = Instant::now();
        tokio::task::spawn_local(async move {
            // Machines that don't answer hold their slots for a while; a command that finds
            // none free says nothing of its own machine.
            let slot = timeout(TIMEOUT, slots.acquire_owned()).await;
            // Nor is one sent that this process stood still over: it would arrive late.
            let late = since.elapsed() > TIMEOUT;
            let reach = match (target, slot) {
                (Some(addr), Ok(Ok(_slot))) if !late => {
                    let http = http.to(addr);
                    let answer = http
                        .call(Method::POST, "/do", Some(body), TIMEOUT, ANSWER_BYTES)
                        .await;
                    match answer.map(|(status, _)| status) {
                        Some(200) => Reach::Took,
                        Some(_) => Reach::Refused,
                        None => Reach::Silent,
                    }
                }
                _ => Reach::NotSent,
            };
            let _ = core.send(Event::Commanded { machine, reach }).await;
        });
    }
}
