//! A stand-in for the state service. It serves each controller on an address of its own, so that a
//! case can refuse or delay one controller alone.
//!
//! `store LOG ADDR...`; `POST /admin/I/MODE` sets the mode of the I-th address, or of all of them
//! (`all`): `ok`, `refuse` (503) or `hold` (requests wait and are carried out once the mode is `ok`).

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::util::*;

struct Key {
    value: Json,
    mark: u64,
    tenure: Option<u64>,
}

struct Tenure {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    keys: BTreeMap<String, Key>,
    edition: u64,
    tenures: HashMap<u64, Tenure>,
    last_tenure: u64,
    news: Vec<(u64, String, Json)>,
    /// Changes up to this edition are not kept any more.
    forgotten: u64,
    modes: Vec<String>,
    outage: bool,
}

const KEPT_CHANGES: usize = 10_000;

impl State {
    fn note(&mut self, key: &str, event: Json) {
        self.news.push((self.edition, key.to_owned(), event));
        if self.news.len() > KEPT_CHANGES {
            let (edition, ..) = self.news.remove(0);
            self.forgotten = edition;
        }
    }
    fn drop_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = obj(vec![("Drop", s(key)), ("Mark", n(self.edition))]);
            self.note(key, event);
        }
    }
    fn end_tenure(&mut self, id: u64) -> bool {
        if self.tenures.remove(&id).is_none() {
            return false;
        }
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, key)| key.tenure == Some(id))
            .map(|(path, _)| path.clone())
            .collect();
        if !attached.is_empty() {
            self.edition += 1;
        }
        for key in attached {
            self.drop_key(&key);
        }
        true
    }
    fn end_expired(&mut self) -> bool {
        if self.outage {
            return false;
        }
        let now = Instant::now();
        let expired: Vec<u64> = self
            .tenures
            .iter()
            .filter(|(_, tenure)| tenure.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        expired
            .into_iter()
            .fold(false, |any, id| self.end_tenure(id) || any)
    }
    fn transact(&mut self, txn: &Json) -> (u16, Json) {
        for change in txn.get("Apply").arr() {
            if let Some(tenure) = change.get("Tenure").u64()
                && !self.tenures.contains_key(&tenure)
            {
                return (400, obj(vec![("error", s("no such lease"))]));
            }
        }
        let failed: Vec<Json> = txn
            .get("Guards")
            .arr()
            .iter()
            .filter(|guard| {
                let path = guard.get("Path").str().unwrap_or("");
                let mark = self.keys.get(path).map_or(0, |key| key.mark);
                guard.get("Mark").u64() != Some(mark)
            })
            .map(|guard| guard.get("Path").clone())
            .collect();
        if !failed.is_empty() {
            let body = obj(vec![
                ("failed", Json::Arr(failed)),
                ("Edition", n(self.edition)),
            ]);
            return (409, body);
        }
        if !txn.get("Apply").arr().is_empty() {
            self.edition += 1;
        }
        for change in txn.get("Apply").arr() {
            if let Some(path) = change.get("Write").str() {
                let (value, mark) = (change.get("V").clone(), self.edition);
                let event = obj(vec![
                    ("Write", s(path)),
                    ("V", value.clone()),
                    ("Mark", n(mark)),
                ]);
                self.note(path, event);
                let tenure = change.get("Tenure").u64();
                self.keys.insert(
                    path.to_owned(),
                    Key {
                        value,
                        mark,
                        tenure,
                    },
                );
            } else if let Some(path) = change.get("Drop").str() {
                self.drop_key(path);
            }
        }
        (200, obj(vec![("Edition", n(self.edition))]))
    }
}

type Shared = Arc<(Mutex<State>, Condvar)>;

fn pair(path: &str, key: &Key) -> Json {
    let mut pair = obj(vec![
        ("Path", s(path)),
        ("V", key.value.clone()),
        ("Mark", n(key.mark)),
    ]);
    if let Some(tenure) = key.tenure {
        pair.set("Tenure", n(tenure));
    }
    pair
}

fn field<'a>(query: &'a [(String, String)], name: &str) -> &'a str {
    query.iter().find(|(k, _)| k == name).map_or("", |(_, v)| v)
}

fn handle(shared: &Shared, index: usize, log: &str, request: Request) -> Answer {
    let (path, query) = request.split();
    let (state, changed) = &**shared;
    if let Some(rest) = path.strip_prefix("/admin/") {
        let (target, mode) = rest.split_once('/')?;
        log_line(log, &format!("store: mode {mode} for controller {target}"));
        let mut state = state.lock().unwrap();
        if target == "all" {
            // An outage gives all tenures their full time again afterwards.
            state.outage = mode == "refuse";
            state.modes.iter_mut().for_each(|m| *m = mode.to_owned());
            for tenure in state.tenures.values_mut() {
                tenure.ends = Instant::now() + tenure.ttl;
            }
        } else {
            let target: usize = target.parse().ok()?;
            state.modes[target] = mode.to_owned();
        }
        changed.notify_all();
        return Some((200, "{}".into()));
    }
    let mut state = state.lock().unwrap();
    while state.modes[index] == "hold" {
        state = changed.wait(state).unwrap();
    }
    if state.modes[index] == "refuse" {
        return Some((503, "{\"error\":\"unavailable\"}".into()));
    }
    if state.end_expired() {
        changed.notify_all();
    }
    let method = request.method.as_str();
    let (status, body) = match (method, path) {
        ("GET", "/store") => {
            let (prefix, after) = (field(&query, "Prefix"), field(&query, "After"));
            let most = field(&query, "Most").parse().unwrap_or(1000).clamp(1, 1000);
            let mut items = Vec::new();
            let mut more = false;
            for (path, key) in state.keys.range(prefix.to_owned()..) {
                if !path.starts_with(prefix) {
                    break;
                }
                if path.as_str() <= after {
                    continue;
                }
                if items.len() == most {
                    more = true;
                    break;
                }
                items.push(pair(path, key));
            }
            let body = obj(vec![
                ("Pairs", Json::Arr(items)),
                ("HasNext", Json::Bool(more)),
                ("Edition", n(state.edition)),
            ]);
            (200, body)
        }
        ("GET", "/follow") => {
            let prefix = field(&query, "Prefix").to_owned();
            let after: u64 = field(&query, "After").parse().unwrap_or(0);
            let hold: u64 = field(&query, "HoldMs").parse().unwrap_or(0);
            let ends = Instant::now() + Duration::from_millis(hold);
            loop {
                // Open watches stay open through an outage.
                if state.modes[index] == "ok" {
                    if after < state.forgotten {
                        return Some((410, "{}".into()));
                    }
                    let news: Vec<Json> = state
                        .news
                        .iter()
                        .filter(|(edition, key, _)| *edition > after && key.starts_with(&prefix))
                        .map(|(_, _, event)| event.clone())
                        .collect();
                    if !news.is_empty() || Instant::now() >= ends {
                        let edition = n(state.edition);
                        let body = obj(vec![("Edition", edition), ("News", Json::Arr(news))]);
                        break (200, body);
                    }
                }
                let wait = Duration::from_millis(50);
                state = changed.wait_timeout(state, wait).unwrap().0;
            }
        }
        ("GET", _) => match state.keys.get_key_value(path.strip_prefix("/store/")?) {
            Some((path, key)) => (200, pair(path, key)),
            None => (404, obj(vec![("Edition", n(state.edition))])),
        },
        ("POST", "/txn") => {
            let answer = state.transact(&Json::parse(&request.body)?);
            changed.notify_all();
            answer
        }
        ("POST", "/holds") => {
            let ttl = Json::parse(&request.body)?.get("TtlMs").u64()?;
            let ttl = Duration::from_millis(ttl);
            state.last_tenure += 1;
            let id = state.last_tenure;
            state.tenures.insert(
                id,
                Tenure {
                    ttl,
                    ends: Instant::now() + ttl,
                },
            );
            (200, obj(vec![("Tenure", n(id))]))
        }
        ("POST", _) => {
            let id: u64 = path
                .strip_prefix("/holds/")?
                .strip_suffix("/renew")?
                .parse()
                .ok()?;
            match state.tenures.get_mut(&id) {
                Some(tenure) => {
                    tenure.ends = Instant::now() + tenure.ttl;
                    (200, obj(vec![]))
                }
                None => (404, obj(vec![])),
            }
        }
        ("DELETE", _) => {
            let id: u64 = path.strip_prefix("/holds/")?.parse().ok()?;
            let ended = state.end_tenure(id);
            changed.notify_all();
            (if ended { 200 } else { 404 }, obj(vec![]))
        }
        _ => (400, obj(vec![])),
    };
    Some((status, body.text()))
}

pub fn run(args: &[String]) {
    let log = args[0].clone();
    let shared: Shared = Arc::default();
    shared.0.lock().unwrap().modes = vec!["ok".to_owned(); args.len() - 1];
    for (index, addr) in args[1..].iter().enumerate() {
        let (shared, log) = (shared.clone(), log.clone());
        serve(addr.parse().expect("an address"), move |request| {
            handle(&shared, index, &log, request)
        });
    }
    loop {
        sleep_ms(20);
        if shared.0.lock().unwrap().end_expired() {
            shared.1.notify_all();
        }
    }
}
