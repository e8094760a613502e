//! Case 6: a service waits without end beside an empty machine, because eight others wait for a zone
//! that has lost its machine.

use crate::driver::*;
use crate::util::*;

const BATCH: &str = "run-000009";
const S: &str = "run-000010";
/// So many services are bound to the zone that loses its machine.
const BOUND: usize = 8;

/// The workers' times of kit/fleet/chorus-grid-fleet.toml.
const SITE: Site = Site {
    report_s: 5.0,
    lease_s: 27.0,
    cancel_s: 57.0,
};
/// "no job is left waiting for 90 s"
const MAX_WAIT_S: f64 = 90.0;

pub fn run(record: &str, trouble: bool) -> i32 {
    let zones = ["gdansk-loft", "poznan-hall", "gdansk-loft"];
    let machines = ["gdansk-loft", "poznan-hall", "poznan-hall"];
    let mut d = Deployment::start(record, &SITE, &zones, &machines);
    let verdict = scenario(&mut d, trouble);
    d.finish(verdict)
}

fn service(id: &str, hall: Json) -> Json {
    let mut job = submission(id, "standing", "prod", 1, 2.0, 0.0);
    job.set("Repertoire", s("booking-desk"));
    job.set("MemGb", f(3.7));
    job.set("ImageGb", f(1.5));
    job.set("Hall", hall);
    job
}

fn scenario(d: &mut Deployment, trouble: bool) -> Verdict {
    let not_run = |why: &str| Verdict::NotRun(why.to_owned());
    if d.wait(15.0, |d| d.leader()).is_none() {
        return not_run("no leader");
    }
    let started = |id: String| {
        move |d: &Deployment| d.has_event(|line| line.contains(&format!("ON {id}/0 ")))
    };
    // A batch task fills one of the two machines in poznan-hall, which then has the image.
    d.upload(BATCH, 1, 16.0, 1000.0, false);
    let mut batch = submission(BATCH, "batch", "standard", 1, 16.0, 1000.0);
    batch.set("ImageGb", f(1.5));
    batch.set("Hall", s("poznan-hall"));
    if !d.submit(&batch) || d.wait(10.0, started(BATCH.into())).is_none() {
        return not_run("the batch job did not start");
    }
    // Eight services are bound to gdansk-loft, where their machine dies.
    let bound: Vec<String> = (1..=BOUND)
        .map(|number| format!("run-{number:06}"))
        .collect();
    for id in &bound {
        d.upload(id, 1, 2.0, 100_000.0, false);
        if !d.submit(&service(id, s("gdansk-loft"))) {
            return not_run("a service was not accepted");
        }
    }
    for id in &bound {
        if d.wait(10.0, started(id.clone())).is_none() {
            return not_run("a service did not start");
        }
    }
    if trouble {
        d.signal_machine(0, "KILL");
        log_line(
            &d.log,
            &format!(
                "cloud: {} gone, stopped with all that is on it",
                d.machines[0].name
            ),
        );
        let deleted = |d: &Deployment| d.has_event(|line| line.contains("gone, deleted"));
        if d.wait(20.0, deleted).is_none() {
            return not_run("the dead machine was not given back");
        }
    }
    // A service that may run anywhere.
    d.upload(S, 1, 2.0, 100_000.0, false);
    if !d.submit(&service(S, Json::Null)) {
        return not_run("the service was not accepted");
    }
    let accepted = std::time::Instant::now();
    match d.wait(MAX_WAIT_S, started(S.into())) {
        Some(_) => Verdict::Held(format!(
            "the service started after {:.1} s",
            accepted.elapsed().as_secs_f64()
        )),
        None => Verdict::Broken(
            "left waiting: the service waited for 90 s while a machine was empty".into(),
        ),
    }
}
