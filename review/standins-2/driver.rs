//! Starts a small deployment of separate processes on loopback for a case: three controllers by the
//! deploy file's `run`, the state service, the cloud and the workers. Acts as the users, keeps the
//! record, and ends every process that it started.

use std::fs;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::util::*;

pub const KIND: &str = "lectern";
/// A case ends after this time at the latest, whatever happens.
const MAX_RUN: Duration = Duration::from_secs(117);
/// The processes that were started, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one, when the time is over.
fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN);
        for pid in STARTED.lock().unwrap().iter() {
            signal(*pid, "KILL");
        }
        println!("could not run: the time is over");
        std::process::exit(2);
    });
}

fn started(process: Child) -> Child {
    STARTED.lock().unwrap().push(process.id());
    process
}

/// How long a user waits for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub addr: SocketAddr,
    pub process: Option<Child>,
}

pub struct Node {
    pub label: String,
    pub area: &'static str,
    pub front: SocketAddr,
    pub internal: SocketAddr,
    pub store: SocketAddr,
    pub process: Option<Child>,
}

pub struct Deployment {
    pub folder: PathBuf,
    pub log: String,
    record: PathBuf,
    run: Vec<String>,
    pub nodes: Vec<Node>,
    pub machines: Vec<Machine>,
    others: Vec<Child>,
}

/// Times of the workers and the platform's limits, as in the site file of Chorus Grid.
pub struct Site {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

pub const CHORUS: Site = Site {
    report_s: 3.0,
    lease_s: 27.0,
    cancel_s: 57.0,
};

/// How a case ends: exit codes 1, 0 and 2.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn free_address() -> SocketAddr {
    loop {
        let mut bytes = [0; 2];
        let random = fs::File::open("/dev/urandom");
        let _ = random.and_then(|mut file| file.read_exact(&mut bytes));
        // Ports below those that the system gives to outgoing connections.
        let port = 11_000 + u16::from_le_bytes(bytes) % 19_000;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut found: Vec<SocketAddr> = Vec::new();
    while found.len() < count {
        let addr = free_address();
        if !found.contains(&addr) {
            found.push(addr);
        }
    }
    found
}

fn run_of_deploy_file() -> Vec<String> {
    let text = fs::read_to_string("deploy/service.toml").expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run"))
        .expect("its run");
    let value = line.split('"').nth(1).expect("a quoted command");
    value.split_whitespace().map(str::to_owned).collect()
}

impl Deployment {
    /// `record` is the file that the record is written to when the case ends.
    pub fn start(
        record: &str,
        site: &Site,
        zones: &[&'static str],
        machines: &[&'static str],
    ) -> Self {
        start_watchdog();
        let name = format!("valegap-case-{}-{}", std::process::id(), now_ms());
        let folder = std::env::temp_dir().join(name);
        for sub in ["jobs", "pids"] {
            fs::create_dir_all(folder.join(sub)).expect("a temporary folder");
        }
        let path = |sub: &str| folder.join(sub).to_string_lossy().into_owned();
        let log = path("events.log");
        let addresses = free_addresses(3 * zones.len() + machines.len() + 1);
        let mut addresses = addresses.into_iter();
        let mut next = || addresses.next().expect("an address");
        let nodes: Vec<Node> = zones
            .iter()
            .enumerate()
            .map(|(index, area)| Node {
                label: format!("cellar-{index}"),
                area,
                front: next(),
                internal: next(),
                store: next(),
                process: None,
            })
            .collect();
        let machines: Vec<Machine> = machines
            .iter()
            .enumerate()
            .map(|(index, zone)| Machine {
                name: format!("vm-{:06}", index + 1),
                zone,
                addr: next(),
                process: None,
            })
            .collect();
        let cloud = next();
        for node in &nodes {
            let others = nodes
                .iter()
                .filter(|other| other.label != node.label)
                .map(|other| {
                    obj(vec![
                        ("label", s(other.label.clone())),
                        ("area", s(other.area)),
                        ("address", s(other.internal.to_string())),
                    ])
                });
            let team = |name: &str, cpus: f64, max: f64| {
                obj(vec![
                    ("name", s(name)),
                    ("cpus", f(cpus)),
                    ("cpus_max", f(max)),
                    ("gpus", f(0.0)),
                    ("gpus_max", f(0.0)),
                ])
            };
            let mut areas: Vec<&str> = zones.to_vec();
            areas.sort();
            areas.dedup();
            let settings = obj(vec![
                ("initial_size", n(zones.len() as u64)),
                ("zones", Json::Arr(areas.into_iter().map(s).collect())),
                (
                    "teams",
                    Json::Arr(vec![
                        team("choir-desk", 152.0, 304.0),
                        team("brass-desk", 152.0, 448.0),
                        team("hall-keepers", 200.0, 304.0),
                    ]),
                ),
                (
                    "objectives",
                    Json::Arr(vec![obj(vec![
                        ("kind", s("wait")),
                        ("class", s("booking-desk")),
                        ("within_s", f(8.0)),
                        ("share", f(0.93)),
                    ])]),
                ),
                (
                    "workers",
                    obj(vec![
                        ("report_s", f(site.report_s)),
                        ("lease_s", f(site.lease_s)),
                        ("gang_wait_s", f(50.0)),
                        ("gang_peer_s", f(8.0)),
                        ("cancel_s", f(site.cancel_s)),
                    ]),
                ),
                (
                    "state",
                    obj(vec![
                        ("rps", f(80.0)),
                        ("write_rps", f(25.0)),
                        ("value_kb", f(16.0)),
                        ("txn_ops", n(16)),
                    ]),
                ),
                ("cloud", obj(vec![("rps", f(6.0)), ("list_lag_s", f(8.0))])),
                (
                    "resources",
                    obj(vec![
                        ("cpu", f(0.2)),
                        ("ram_mb", f(136.0)),
                        ("max_connections", n(2500)),
                    ]),
                ),
                ("skew_ms", f(25.0)),
            ]);
            let file = obj(vec![
                ("label", s(node.label.clone())),
                ("area", s(node.area)),
                ("front", s(node.front.to_string())),
                ("internal_addr", s(node.internal.to_string())),
                ("others", Json::Arr(others.collect())),
                (
                    "services",
                    obj(vec![
                        ("cloud", s(cloud.to_string())),
                        ("state", s(node.store.to_string())),
                    ]),
                ),
                ("settings", settings),
            ]);
            fs::write(path(&format!("{}.json", node.label)), file.text()).expect("a settings file");
        }
        let myself = std::env::current_exe().expect("this program");
        let stand_in = |args: Vec<String>| {
            let process = Command::new(&myself)
                .args(args)
                .stderr(Stdio::null())
                .spawn();
            started(process.expect("a stand-in starts"))
        };
        let mut store_args = vec!["store".to_owned(), log.clone()];
        store_args.extend(nodes.iter().map(|node| node.store.to_string()));
        let mut cloud_args = vec![
            "cloud".to_owned(),
            log.clone(),
            path("pids"),
            KIND.to_owned(),
            cloud.to_string(),
        ];
        cloud_args.extend(
            machines
                .iter()
                .map(|m| format!("{},{},{}", m.name, m.addr, m.zone)),
        );
        let others = vec![stand_in(store_args), stand_in(cloud_args)];
        let mut deployment = Self {
            folder,
            log,
            record: record.into(),
            run: run_of_deploy_file(),
            nodes,
            machines,
            others,
        };
        for index in 0..deployment.nodes.len() {
            deployment.start_node(index);
        }
        for index in 0..deployment.machines.len() {
            deployment.start_machine(index, site);
        }
        deployment
    }

    pub fn path(&self, sub: &str) -> String {
        self.folder.join(sub).to_string_lossy().into_owned()
    }

    pub fn note(&self, line: &str) {
        log_line(&self.log, &format!("case: {line}"));
    }

    pub fn start_node(&mut self, index: usize) {
        let label = self.nodes[index].label.clone();
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.path(&format!("{label}.log")))
            .expect("a log file");
        let process = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(self.path(&format!("{label}.json")))
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("info".into()),
            )
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        self.note(&format!("{label} started, process {}", process.id()));
        self.nodes[index].process = Some(started(process));
    }

    /// Kills a controller with no signal that it could handle.
    pub fn kill_node(&mut self, index: usize) {
        if let Some(mut process) = self.nodes[index].process.take() {
            let _ = process.kill();
            let _ = process.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != process.id());
            self.note(&format!("{} killed", self.nodes[index].label));
        }
    }

    pub fn start_machine(&mut self, index: usize, site: &Site) {
        let machine = &self.machines[index];
        let mut args = vec![
            "worker".to_owned(),
            self.log.clone(),
            self.path("jobs"),
            machine.name.clone(),
            machine.addr.to_string(),
            KIND.to_owned(),
            machine.zone.to_owned(),
            site.report_s.to_string(),
            site.lease_s.to_string(),
        ];
        args.extend(
            self.nodes
                .iter()
                .map(|node| format!("{}={}", node.label, node.front)),
        );
        let process = Command::new(std::env::current_exe().expect("this program"))
            .args(args)
            .spawn()
            .expect("a worker starts");
        let pid_file = self.path(&format!("pids/{}", machine.name));
        fs::write(pid_file, process.id().to_string()).expect("a file");
        self.machines[index].process = Some(started(process));
    }

    pub fn signal_machine(&self, index: usize, name: &str) {
        let machine = &self.machines[index];
        if let Some(process) = &machine.process {
            self.note(&format!("signal {name} to the worker of {}", machine.name));
            signal(process.id(), name);
        }
    }

    pub fn store_mode(&self, target: &str, mode: &str) {
        let path = format!("/admin/{target}/{mode}");
        let _ = call(self.nodes[0].store, "POST", &path, "", POLL_TIMEOUT);
    }

    /// The controller that leads, and has led for as long as its log tells, by its status page.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|index| {
            let node = &self.nodes[*index];
            node.process.is_some()
                && call(node.internal, "GET", "/status", "", POLL_TIMEOUT).is_some_and(
                    |(_, body)| String::from_utf8_lossy(&body).contains(", before its deadline"),
                )
        })
    }

    /// Waits until `condition` returns a value, or until `limit_s` have passed.
    pub fn wait<T>(
        &self,
        limit_s: f64,
        mut condition: impl FnMut(&Self) -> Option<T>,
    ) -> Option<T> {
        let end = Instant::now() + Duration::from_secs_f64(limit_s);
        loop {
            if let Some(value) = condition(self) {
                return Some(value);
            }
            if Instant::now() >= end {
                return None;
            }
            sleep_ms(50);
        }
    }

    /// What the stand-ins and the case have logged so far, by time.
    pub fn events(&self) -> Vec<(u64, String)> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let mut events: Vec<(u64, String)> = text
            .lines()
            .filter_map(|line| {
                let (at, rest) = line.split_once(' ')?;
                Some((at.parse().ok()?, rest.to_owned()))
            })
            .collect();
        events.sort_by_key(|(at, _)| *at);
        events
    }

    pub fn has_event(&self, wanted: impl Fn(&str) -> bool) -> Option<u64> {
        self.events()
            .into_iter()
            .find(|(_, line)| wanted(line))
            .map(|(at, _)| at)
    }

    /// Puts a job's description where the workers find it.
    pub fn upload(&self, id: &str, tasks: u64, cores: f64, run_s: f64, fails: bool) {
        let fails = if fails { "error" } else { "" };
        let text = format!("{tasks} {cores} {run_s} {fails}");
        fs::write(self.path(&format!("jobs/{id}")), text).expect("a description");
    }

    pub fn request(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, Json)> {
        let node = &self.nodes[index];
        let timeout = if method == "GET" {
            POLL_TIMEOUT
        } else {
            SUBMIT_TIMEOUT
        };
        let answer = call(node.front, method, path, body, timeout);
        let answer =
            answer.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)));
        let told = match &answer {
            Some((status, body)) => format!("{status} {}", body.text()),
            None => "no answer".to_owned(),
        };
        self.note(&format!(
            "user: {method} {path} {body} to {} -> {told}",
            node.label
        ));
        answer
    }

    /// Submits a job to the controllers in turn, as a user does through the load balancer.
    pub fn submit(&self, job: &Json) -> bool {
        for attempt in 0..20 {
            let index = attempt % self.nodes.len();
            if self.nodes[index].process.is_some()
                && let Some((200 | 201, _)) = self.request(index, "POST", "/v1/jobs", &job.text())
            {
                return true;
            }
            sleep_ms(1000);
        }
        false
    }

    /// Ends all processes, writes the record, and returns the exit code.
    pub fn finish(mut self, verdict: Verdict) -> i32 {
        let (code, text) = match verdict {
            Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
            Verdict::Held(text) => (0, format!("held: {text}")),
            Verdict::NotRun(text) => (2, format!("could not run: {text}")),
        };
        self.note(&text);
        println!("{text}");
        for index in 0..self.nodes.len() {
            self.kill_node(index);
        }
        let machines = self.machines.iter_mut().filter_map(|m| m.process.take());
        for mut process in machines.chain(std::mem::take(&mut self.others)) {
            let _ = process.kill();
            let _ = process.wait();
        }
        let events = self.events();
        let first = events.first().map_or(0, |(at, _)| *at);
        let mut record = String::from("seconds since the first line, who, what\n");
        for (at, line) in &events {
            record += &format!("{:9.3} {line}\n", (*at - first) as f64 / 1000.0);
        }
        for node in &self.nodes {
            record += &format!("\nlog of {}:\n", node.label);
            record +=
                &fs::read_to_string(self.path(&format!("{}.log", node.label))).unwrap_or_default();
        }
        let _ = fs::write(&self.record, record);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        code
    }
}

/// The body of a submission.
pub fn submission(id: &str, form: &str, tempo: &str, tasks: u64, cores: f64, run_s: f64) -> Json {
    obj(vec![
        ("NameId", s(id)),
        ("Repertoire", s("part-matcher")),
        ("Section", s("choir-desk")),
        ("Form", s(form)),
        ("Tempo", s(tempo)),
        ("Voices", n(tasks)),
        ("Cores", f(cores)),
        ("Accelerators", f(0.0)),
        ("MemGb", f(5.1)),
        ("Score", s("img-01")),
        ("ImageGb", f(0.1)),
        ("Instruments", Json::Null),
        ("Hall", Json::Null),
        ("OneZone", Json::Bool(false)),
        ("Scatter", Json::Bool(false)),
        ("Borrowed", Json::Bool(false)),
        ("DurationS", f(run_s)),
        ("BreathS", f(0.0)),
        ("FermataS", f(0.0)),
        ("CurtainS", Json::Null),
    ])
}

/// The rule `ran_twice`: returns the first start of a task on one machine while it is on another.
/// `OFF` lines end a task's time on its machine; so does `gone`, the end of its machine.
pub fn first_double_start(events: &[(u64, String)]) -> Option<String> {
    let mut on: Vec<(String, String)> = Vec::new();
    for (at, line) in events {
        let Some((who, what)) = line.split_once(": ") else {
            continue;
        };
        let words: Vec<&str> = what.split(' ').collect();
        match words[0] {
            "ON" => {
                let other = on
                    .iter()
                    .find(|(machine, voice)| voice == words[1] && machine != who);
                if let Some((other, _)) = other {
                    let line = format!(
                        "at {at} task {} started on {who} while on {other}",
                        words[1]
                    );
                    return Some(line);
                }
                on.push((who.to_owned(), words[1].to_owned()));
            }
            "OFF" => on.retain(|(machine, voice)| !(machine == who && voice == words[1])),
            _ if who == "cloud" && words.get(1) == Some(&"gone,") => {
                on.retain(|(machine, _)| machine != words[0])
            }
            _ => {}
        }
    }
    None
}
