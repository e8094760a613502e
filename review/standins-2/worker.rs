//! A stand-in for a worker, by the page PROTOCOL: reports, sessions and leases, tokens, commands.
//!
//! `worker LOG JOBS NAME ADDR TYPE ZONE REPORT_S LEASE_S LABEL=ADDR...`: `JOBS` is a folder with a
//! file for each submitted job, which holds its number of tasks, the cores of each, its run time in
//! seconds, and `error` if its tasks fail at the end. In a report, the tasks that have not exited
//! come before those that have, as in the page's example. Gangs are not simulated.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::util::*;

/// The time in which a machine fetches an image.
const FETCH: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct Job {
    tasks: u64,
    cores: f64,
    run: Duration,
    fails: bool,
    save: Duration,
}

struct Task {
    voice: String,
    take: u64,
    stage: &'static str,
    coda: &'static str,
    stored: bool,
    job: Option<Job>,
    /// Time in the present stage while the machine was not hanging.
    spent: Duration,
}

struct Machine {
    log: String,
    jobs: String,
    name: String,
    addr: String,
    kind: String,
    zone: String,
    lease: Duration,
    session: u64,
    bar: u64,
    token: u64,
    tasks: Vec<Task>,
    /// When the last answered report was sent, or else when the session began.
    lease_from: Instant,
    changed: bool,
    token_change_told: Option<Instant>,
}

impl Machine {
    fn log(&self, line: &str) {
        log_line(&self.log, &format!("{}: {line}", self.name));
    }

    fn check_lease(&mut self) {
        if self.lease_from.elapsed() <= self.lease {
            return;
        }
        for task in &self.tasks {
            if matches!(task.stage, "running" | "flushing") {
                self.log(&format!(
                    "OFF {} {} killed, the lease has ended",
                    task.voice, task.take
                ));
            }
        }
        self.tasks.clear();
        self.session += 1;
        self.lease_from = Instant::now();
        self.changed = true;
        self.log(&format!("session {} begins", self.session));
    }

    fn see_token(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            let told = self.token_change_told;
            if told.is_none_or(|at| at.elapsed() >= self.lease / 2) {
                self.token_change_told = Some(Instant::now());
                self.changed = true;
            }
        }
    }

    fn exit(&mut self, index: usize, coda: &'static str) {
        let task = &mut self.tasks[index];
        let was_on = matches!(task.stage, "running" | "flushing");
        task.stage = "ended";
        task.coda = coda;
        let word = if was_on { "OFF" } else { "exit" };
        let line = format!("{word} {} {} {coda}", task.voice, task.take);
        self.log(&line);
        self.changed = true;
    }

    fn tick(&mut self, passed: Duration) {
        self.check_lease();
        for index in 0..self.tasks.len() {
            let task = &mut self.tasks[index];
            task.spent += passed;
            let Some(job) = task.job.clone() else {
                continue;
            };
            match task.stage {
                "fetching" if task.spent >= FETCH => {
                    task.stage = "running";
                    task.spent = Duration::ZERO;
                    let line = format!("ON {} {}", task.voice, task.take);
                    self.log(&line);
                    self.changed = true;
                }
                "running" if task.spent >= job.run => {
                    self.exit(index, if job.fails { "error" } else { "done" })
                }
                "flushing" if task.spent >= job.save => {
                    task.stored = true;
                    self.exit(index, "halted")
                }
                _ => {}
            }
        }
    }

    fn job(&self, voice: &str) -> Option<Job> {
        let (id, index) = voice.rsplit_once('/')?;
        let text = std::fs::read_to_string(format!("{}/{id}", self.jobs)).ok()?;
        let mut words = text.split_whitespace();
        let job = Job {
            tasks: words.next()?.parse().ok()?,
            cores: words.next()?.parse().ok()?,
            run: Duration::from_secs_f64(words.next()?.parse().ok()?),
            fails: words.next() == Some("error"),
            save: Duration::ZERO,
        };
        (index.parse::<u64>().ok()? < job.tasks).then_some(job)
    }

    fn launch(&mut self, voice: &str, take: u64) {
        if self
            .tasks
            .iter()
            .any(|t| t.voice == voice && t.take == take)
        {
            return;
        }
        let live = |t: &&Task| t.stage != "ended";
        let used: f64 = self
            .tasks
            .iter()
            .filter(live)
            .filter_map(|t| t.job.as_ref())
            .map(|job| job.cores)
            .sum();
        let job = self.job(voice);
        let refusal = match &job {
            None => "unknown",
            _ if self.tasks.iter().filter(live).any(|t| t.voice == voice) => "in_use",
            Some(job) if used + job.cores > crate::cloud::CORES + 1e-9 => "full",
            _ => "",
        };
        self.tasks.push(Task {
            voice: voice.to_owned(),
            take,
            stage: if refusal.is_empty() {
                "fetching"
            } else {
                "ended"
            },
            coda: refusal,
            stored: false,
            job,
            spent: Duration::ZERO,
        });
        self.changed = true;
    }

    fn execute(&mut self, cues: &Json, from: &str) {
        for cue in cues.arr() {
            let voice = cue.get("Voice").str().unwrap_or("").to_owned();
            let take = cue.get("Take").u64().unwrap_or(0);
            let kind = cue.get("CueKind").str().unwrap_or("");
            self.log(&format!("executes {kind} {voice} {take} ({from})"));
            let found = self
                .tasks
                .iter()
                .position(|t| t.voice == voice && t.take == take);
            match (kind, found) {
                ("launch", _) => self.launch(&voice, take),
                ("stop", Some(index)) if self.tasks[index].stage != "ended" => {
                    self.exit(index, "halted")
                }
                ("clear", Some(index)) if self.tasks[index].stage == "ended" => {
                    self.tasks.remove(index);
                    self.changed = true;
                }
                _ => {}
            }
        }
    }

    /// The tasks of a report, for the record.
    fn listed(report: &Json) -> String {
        let task = |voice: &Json| {
            let field = |name: &str| voice.get(name).str().unwrap_or("").to_owned();
            let take = voice.get("Take").u64().unwrap_or(0);
            let line = format!(
                "{} {take} {} {}",
                field("Voice"),
                field("Stage"),
                field("Coda")
            );
            line.trim_end().to_owned()
        };
        let tasks: Vec<String> = report.get("Voices").arr().iter().map(task).collect();
        format!("[{}]", tasks.join(", "))
    }

    fn report(&mut self) -> Json {
        self.bar += 1;
        let live = self.tasks.iter().filter(|t| t.stage != "ended");
        let exited = self.tasks.iter().filter(|t| t.stage == "ended");
        let voices = live.chain(exited).map(|task| {
            let mut voice = obj(vec![
                ("Voice", s(task.voice.clone())),
                ("Take", n(task.take)),
                ("Stage", s(task.stage)),
            ]);
            if task.stage == "ended" {
                voice.set("Coda", s(task.coda));
                if task.stored {
                    voice.set("Stored", Json::Bool(true));
                }
            }
            voice
        });
        obj(vec![
            ("Voices", Json::Arr(voices.collect())),
            ("Stand", s(self.name.clone())),
            ("Addr", s(self.addr.clone())),
            ("Instrument", s(self.kind.clone())),
            ("Hall", s(self.zone.clone())),
            ("Borrowed", Json::Bool(false)),
            ("Rehearsal", n(self.session)),
            ("Bar", n(self.bar)),
            ("Baton", n(self.token)),
            ("CueS", Json::Null),
        ])
    }
}

fn handle(machine: &Mutex<Machine>, request: Request) -> Answer {
    let mut machine = machine.lock().unwrap();
    machine.check_lease();
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/status") => Some((200, machine.report().text())),
        ("POST", "/commands") => {
            let body = Json::parse(&request.body)?;
            let (Some(token), Some(session)) =
                (body.get("Baton").u64(), body.get("Rehearsal").u64())
            else {
                return Some((400, "{}".into()));
            };
            let accepted = token >= machine.token && session == machine.session;
            machine.see_token(token);
            if accepted {
                machine.execute(body.get("Cues"), "direct");
            }
            let status = if accepted { 200 } else { 409 };
            let report = machine.report();
            let tasks = Machine::listed(&report);
            machine.log(&format!("commands with token {token} -> {status} {tasks}"));
            Some((status, report.text()))
        }
        _ => Some((404, "{}".into())),
    }
}

pub fn run(args: &[String]) {
    let addr: SocketAddr = args[3].parse().expect("an address");
    let report: f64 = args[6].parse().expect("seconds");
    let nodes: Vec<(String, SocketAddr)> = args[8..]
        .iter()
        .map(|node| {
            let (label, addr) = node.split_once('=').expect("label=address");
            (label.to_owned(), addr.parse().expect("an address"))
        })
        .collect();
    let machine = Arc::new(Mutex::new(Machine {
        log: args[0].clone(),
        jobs: args[1].clone(),
        name: args[2].clone(),
        addr: args[3].clone(),
        kind: args[4].clone(),
        zone: args[5].clone(),
        lease: Duration::from_secs_f64(args[7].parse().expect("seconds")),
        session: 1,
        bar: 0,
        token: 0,
        tasks: Vec::new(),
        lease_from: Instant::now(),
        changed: true,
        token_change_told: None,
    }));
    let served = machine.clone();
    serve(addr, move |request| handle(&served, request));
    let ticking = machine.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(TICK);
            // While the machine hangs its tasks make no progress.
            ticking.lock().unwrap().tick(TICK);
        }
    });
    let mut current = 0;
    let mut last_sent = Instant::now();
    let mut not_before = Instant::now();
    let mut due = Duration::ZERO;
    let mut seed = u64::from(std::process::id());
    loop {
        std::thread::sleep(TICK / 2);
        let (text, tasks, session, sent) = {
            let mut machine = machine.lock().unwrap();
            machine.check_lease();
            let since = last_sent.elapsed();
            let is_due = since >= due || (machine.changed && since >= Duration::from_millis(500));
            if !is_due || Instant::now() < not_before {
                continue;
            }
            machine.changed = false;
            let report = machine.report();
            let tasks = format!("token {} {}", machine.token, Machine::listed(&report));
            (report.text(), tasks, machine.session, Instant::now())
        };
        last_sent = sent;
        // The interval varies by a quarter.
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let share = (seed >> 33) as f64 / (1u64 << 31) as f64;
        due = Duration::from_secs_f64(report * (0.75 + 0.5 * share));
        let answer = call(
            nodes[current].1,
            "POST",
            "/v1/report",
            &text,
            Duration::from_secs(4),
        );
        let mut machine = machine.lock().unwrap();
        machine.check_lease();
        let body = answer.as_ref().and_then(|(_, body)| Json::parse(body));
        let status = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, _)| status.to_string());
        machine.log(&format!(
            "report {tasks} to {} -> {status}",
            nodes[current].0
        ));
        match (answer.map(|(status, _)| status), body) {
            (Some(200), Some(body)) if sent.elapsed() <= Duration::from_secs(4) => {
                let token = body.get("Baton").u64().unwrap_or(0);
                if machine.session == session && token >= machine.token && token > 0 {
                    machine.lease_from = machine.lease_from.max(sent);
                    machine.see_token(token);
                    let from = format!("answer of {}", nodes[current].0);
                    machine.execute(body.get("Cues"), &from);
                } else {
                    machine.log(&format!("drops an answer of {}", nodes[current].0));
                }
            }
            (status, body) => {
                let named = body.filter(|_| status == Some(421)).and_then(|body| {
                    let label = body.get("Conductor").str()?.to_owned();
                    nodes.iter().position(|(known, _)| *known == label)
                });
                match named.filter(|named| *named != current) {
                    Some(named) => current = named,
                    None => {
                        current = (current + 1) % nodes.len();
                        not_before = Instant::now() + Duration::from_secs(1);
                    }
                }
                // The report goes to the next node; it counts as a change that is still to be told.
                machine.changed = true;
                due = Duration::ZERO;
            }
        }
    }
}
