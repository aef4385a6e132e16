//! A stand-in of the state service: keys, conditional transactions, lists and the watch, in memory.

use crate::http::{answer, query, Answer};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use tokio::sync::watch;
use tokio::time::{timeout, Duration};

/// Changes that a watch can go back to, by protocol.
const CHANGES_KEPT: usize = 10_000;
/// Items in one page at most, by protocol.
const PAGE: usize = 1_000;

#[derive(Default)]
struct Keys {
    epoch: u64,
    items: BTreeMap<String, (Value, u64)>,
    changes: VecDeque<(u64, Value)>,
}

#[derive(Clone)]
pub struct State {
    keys: Arc<Mutex<Keys>>,
    epoch: watch::Sender<u64>,
}

impl Keys {
    fn stamp(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |(_, stamp)| *stamp)
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let failed: Vec<Value> = list("if")
            .iter()
            .filter(|c| self.stamp(c["k"].as_str().unwrap_or("")) != c["stamp"])
            .map(|c| c["k"].clone())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.epoch}));
        }
        let changes = list("apply");
        self.epoch += u64::from(!changes.is_empty());
        for change in changes {
            let stamp = self.epoch;
            let news = match change["put"].as_str() {
                Some(key) => {
                    let value = change["v"].clone();
                    self.items.insert(key.to_string(), (value.clone(), stamp));
                    json!({"put": key, "v": value, "stamp": stamp})
                }
                None => {
                    let key = change["remove"].as_str().unwrap_or("");
                    self.items.remove(key);
                    json!({"remove": key, "stamp": stamp})
                }
            };
            self.changes.push_back((stamp, news));
            if self.changes.len() > CHANGES_KEPT {
                self.changes.pop_front();
            }
        }
        (200, json!({"epoch": self.epoch}))
    }

    fn list(&self, under: &str, since: &str) -> Value {
        let from = if since.is_empty() { under } else { since };
        let mut items = (self.items.range(from.to_string()..))
            .skip_while(|(k, _)| k.as_str() == since)
            .take_while(|(k, _)| k.starts_with(under));
        let page: Vec<Value> = (items.by_ref().take(PAGE))
            .map(|(k, (v, stamp))| json!({"k": k, "v": v, "stamp": stamp}))
            .collect();
        json!({"items": page, "more": items.next().is_some(), "epoch": self.epoch})
    }
}

impl State {
    pub fn new() -> State {
        State {
            keys: Arc::default(),
            epoch: watch::channel(0).0,
        }
    }

    /// Records that are there, by the first letters of their keys.
    pub fn records(&self) -> usize {
        self.keys.lock().map_or(0, |keys| keys.items.len())
    }

    pub async fn serve(self, method: String, path: String, body: Vec<u8>) -> Answer {
        let (path, words) = path.split_once('?').unwrap_or((&path, ""));
        if path == "/watch" {
            return self.watched(words).await;
        }
        let word = |name| query(words, name);
        let Ok(mut keys) = self.keys.lock() else {
            return answer(503, &json!({"error": "broken"}));
        };
        match (method.as_str(), path) {
            ("POST", "/txn") => {
                let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                let (status, told) = keys.transact(&body);
                self.epoch.send_replace(keys.epoch);
                answer(status, &told)
            }
            ("GET", "/keys") => answer(200, &keys.list(word("under"), word("since"))),
            ("GET", key) => match keys.items.get(key.trim_start_matches("/keys/")) {
                Some((v, stamp)) => answer(200, &json!({"k": key, "v": v, "stamp": stamp})),
                None => answer(404, &json!({"epoch": keys.epoch})),
            },
            _ => answer(400, &json!({"error": "malformed"})),
        }
    }

    async fn watched(&self, words: &str) -> Answer {
        let since: u64 = query(words, "since").parse().unwrap_or(0);
        let hold = Duration::from_millis(query(words, "holdMs").parse().unwrap_or(0));
        let mut epochs = self.epoch.subscribe();
        let _ = timeout(hold, epochs.wait_for(|e| *e > since)).await;
        let Ok(keys) = self.keys.lock() else {
            return answer(503, &json!({"error": "broken"}));
        };
        if keys.changes.front().is_some_and(|(e, _)| *e > since + 1) && since > 0 {
            return answer(410, &json!({"epoch": keys.epoch}));
        }
        let news = keys.changes.iter().filter(|(e, _)| *e > since);
        let news: Vec<&Value> = news.map(|(_, n)| n).collect();
        answer(200, &json!({"epoch": keys.epoch, "news": news}))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_transaction_takes_effect_only_on_what_it_rests_on() {
        let mut keys = Keys::default();
        let put = |stamp: u64| json!({"if": [{"k": "c/a", "stamp": stamp}], "apply": [{"put": "c/a", "v": 1}]});
        assert_eq!(keys.transact(&put(0)).0, 200);
        assert_eq!(keys.transact(&put(0)).0, 409);
        assert_eq!(keys.transact(&put(1)).0, 200);
        assert_eq!(
            keys.transact(&json!({"apply": [{"put": "d/b", "v": 2}]})).0,
            200
        );
        let page = keys.list("c/", "");
        assert_eq!(
            (page["items"].as_array().unwrap().len(), &page["more"]),
            (1, &json!(false))
        );
        assert_eq!(keys.list("c/", "c/a")["items"], json!([]));
        assert_eq!(keys.transact(&json!({"apply": [{"remove": "c/a"}]})).0, 200);
        assert_eq!((keys.stamp("c/a"), keys.epoch), (0, 4));
    }
}
