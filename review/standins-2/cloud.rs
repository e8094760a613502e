//! A stand-in for the cloud, which has these machines and no capacity for others.
//!
//! `cloud LOG PIDS TYPE ADDR NAME,WORKER_ADDR,ZONE...`: `PIDS` is a folder with the process id of
//! each machine's worker, which is killed when the machine is deleted.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Instant;

use crate::util::*;

pub const CORES: f64 = 16.0;

pub fn run(args: &[String]) {
    let (log, pids, kind) = (args[0].clone(), args[1].clone(), args[2].clone());
    let started = Instant::now();
    let machines: Vec<(String, String, String)> = args[4..]
        .iter()
        .map(|machine| {
            let mut parts = machine.split(',').map(str::to_owned);
            let mut next = || parts.next().expect("name, address and zone");
            (next(), next(), next())
        })
        .collect();
    let halls: BTreeSet<&str> = machines.iter().map(|(_, _, zone)| zone.as_str()).collect();
    let types = obj(vec![(
        "Instruments",
        Json::Arr(vec![obj(vec![
            ("Name", s(kind.clone())),
            ("Cores", f(CORES)),
            ("Accelerators", f(0.0)),
            ("MemGb", f(128.0)),
            ("CacheGb", f(80.0)),
            ("FetchGbPerS", f(0.12)),
            ("Price", f(0.84)),
            ("LowPrice", f(0.23)),
            ("StartupS", f(25.0)),
            ("Halls", Json::Arr(halls.into_iter().map(s).collect())),
        ])]),
    )])
    .text();
    let deleted: Mutex<BTreeSet<String>> = Mutex::default();
    serve(args[3].parse().expect("an address"), move |request| {
        let (path, query) = request.split();
        match (request.method.as_str(), path) {
            ("GET", "/machine_types") => Some((200, types.clone())),
            ("POST", "/rentals") => Some((503, "{\"error\":\"no capacity\"}".into())),
            ("POST", "/rentals/delete") => {
                let mut deleted = deleted.lock().unwrap();
                for name in Json::parse(&request.body)?.get("Stands").arr() {
                    let name = name.str()?;
                    if machines.iter().any(|(known, ..)| known == name)
                        && deleted.insert(name.to_owned())
                    {
                        let pid =
                            std::fs::read_to_string(format!("{pids}/{name}")).unwrap_or_default();
                        if let Ok(pid) = pid.trim().parse() {
                            signal(pid, "KILL");
                        }
                        log_line(&log, &format!("cloud: {name} gone, deleted"));
                    }
                }
                Some((200, "{}".into()))
            }
            ("GET", "/rentals") => {
                let after = query
                    .iter()
                    .find(|(k, _)| k == "After")
                    .map_or("", |(_, v)| v);
                let deleted = deleted.lock().unwrap();
                let listed = machines
                    .iter()
                    .filter(|(name, ..)| name.as_str() > after && !deleted.contains(name));
                let stands = listed.map(|(name, addr, zone)| {
                    obj(vec![
                        ("NameId", s(name.clone())),
                        ("Addr", s(addr.clone())),
                        ("Instrument", s(kind.clone())),
                        ("Hall", s(zone.clone())),
                        ("Borrowed", Json::Bool(false)),
                        ("Stage", s("running")),
                        ("HeldS", f(100.0 + started.elapsed().as_secs_f64())),
                    ])
                });
                let stands = Json::Arr(stands.collect());
                let body = obj(vec![("Stands", stands), ("HasNext", Json::Bool(false))]);
                Some((200, body.text()))
            }
            _ => Some((400, "{}".into())),
        }
    });
    loop {
        sleep_ms(1000);
    }
}
