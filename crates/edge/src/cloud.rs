//! A stand-in of the cloud: one type of machine, which is up at once.

use crate::http::{answer, query, Answer};
use crate::workers::Workers;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
pub struct Cloud {
    hosts: Arc<Mutex<Vec<Value>>>,
    /// Machines that it has in all.
    most: usize,
}

pub const FLAVOUR: &str = "g8";
pub const YARD: &str = "z1";

impl Cloud {
    pub fn new(most: usize) -> Cloud {
        Cloud {
            most,
            ..Cloud::default()
        }
    }

    pub fn boot(&self, workers: &Workers, spot: bool) -> Option<String> {
        let mut hosts = self.hosts.lock().ok()?;
        if hosts.len() >= self.most {
            return None;
        }
        let (name, address) = workers.boot(FLAVOUR, YARD, spot);
        hosts.push(
            json!({"nameId": name, "address": address, "flavour": FLAVOUR, "yard": YARD,
            "reclaimable": spot, "standing": "running", "ageS": 10.0}),
        );
        Some(name)
    }

    pub async fn serve(self, workers: Workers, path: String, body: Vec<u8>) -> Answer {
        let (path, words) = path.split_once('?').unwrap_or((&path, ""));
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        match path {
            "/catalog" => answer(
                200,
                &json!({"flavours": [{"name": FLAVOUR, "vcpus": 32.0, "accelerators": 0.0,
                    "ramGb": 128.0, "localGb": 200.0, "pullGbPerS": 1.0, "hourly": 2.0,
                    "marketPrice": 0.5, "readyS": 25, "yards": [YARD]}]}),
            ),
            "/hosts/delete" => answer(200, &json!({})),
            "/hosts" if body.is_null() => {
                let since = query(words, "since");
                let most = query(words, "most").parse().unwrap_or(500);
                let Ok(hosts) = self.hosts.lock() else {
                    return answer(503, &json!({"error": "trouble"}));
                };
                let after = |h: &&Value| h["nameId"].as_str().unwrap_or("") > since;
                let mut rest = hosts.iter().filter(after);
                let page: Vec<&Value> = rest.by_ref().take(most).collect();
                answer(200, &json!({"hosts": page, "more": rest.next().is_some()}))
            }
            _ => {
                let number = body["number"].as_u64().unwrap_or(0);
                let spot = body["reclaimable"].as_bool().unwrap_or(false);
                let hired: Vec<String> = (0..number)
                    .filter_map(|_| self.boot(&workers, spot))
                    .collect();
                match hired.is_empty() {
                    true => answer(503, &json!({"error": "no capacity"})),
                    false => answer(200, &json!({"hosts": hired})),
                }
            }
        }
    }
}
