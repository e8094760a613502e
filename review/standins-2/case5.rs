//! Case 5: a leader that lets the workers' leases end, because it can't know of all cancellations,
//! starts the tasks again in the workers' next sessions.

use crate::driver::*;
use crate::util::*;

const X: &str = "run-000001";
/// The length of the outage of the state service, which is longer than `cancel_s`.
const OUTAGE_S: f64 = 85.0;

/// The workers' times in kit/more/hunt/chorus-grid-hunt.toml.
const SITE: Site = Site {
    report_s: 5.0,
    lease_s: 27.0,
    cancel_s: 57.0,
};

pub fn run(record: &str, trouble: bool) -> i32 {
    let zones = ["gdansk-loft", "poznan-hall", "gdansk-loft"];
    let mut d = Deployment::start(record, &SITE, &zones, &["gdansk-loft"]);
    let verdict = scenario(&mut d, trouble);
    d.finish(verdict)
}

fn scenario(d: &mut Deployment, trouble: bool) -> Verdict {
    let not_run = |why: &str| Verdict::NotRun(why.to_owned());
    if d.wait(20.0, |d| d.leader()).is_none() {
        return not_run("no leader");
    }
    d.upload(X, 1, 2.0, 1000.0, false);
    let accepted = d.submit(&submission(X, "standing", "prod", 1, 2.0, 0.0));
    let has_started = |d: &Deployment| d.has_event(|line| line.contains(&format!("ON {X}/0 ")));
    if !accepted || d.wait(15.0, has_started).is_none() {
        return not_run("the job did not start");
    }
    sleep_s(5.0);
    let Some(leader) = d.leader() else {
        return not_run("no leader");
    };
    let other = (leader + 1) % d.nodes.len();
    // The state service refuses the leader alone, and half a second later everybody.
    if trouble {
        d.store_mode(&leader.to_string(), "refuse");
        sleep_s(0.4);
    }
    // Meanwhile the user cancels the job at another controller.
    let answer = d.request(other, "POST", &format!("/v1/jobs/{X}/cancel"), "");
    if trouble {
        d.store_mode("all", "refuse");
    }
    let told = now_ms();
    if answer
        .is_none_or(|(status, body)| status != 200 || body.get("Stage").str() != Some("cancelled"))
    {
        return not_run("the cancellation was not confirmed");
    }
    // That controller ends, and is back within a fraction of a second.
    if trouble {
        d.kill_node(other);
        sleep_s(0.1);
        d.start_node(other);
    }
    let limit = told + (SITE.cancel_s * 1000.0) as u64;
    let late = |d: &Deployment| late_task(&d.events(), X, limit);
    let found = d.wait(
        if trouble {
            OUTAGE_S
        } else {
            SITE.cancel_s + 5.0
        },
        late,
    );
    if trouble {
        d.store_mode("all", "ok");
    }
    match found {
        Some(line) => Verdict::Broken(format!("ran_cancelled: {line}")),
        None => Verdict::Held("no task was on a machine cancel_s after the confirmation".into()),
    }
}

/// A task of the job that is on a machine, or starts, after `limit`.
fn late_task(events: &[(u64, String)], id: &str, limit: u64) -> Option<String> {
    let mut on = false;
    let voice = format!("{id}/0");
    for (at, line) in events {
        let words: Vec<&str> = line.split(' ').collect();
        if on && *at > limit {
            return Some(format!(
                "{voice} is on a machine {} ms after the limit",
                at - limit
            ));
        }
        match words[..] {
            [_, "ON", task, ..] if task == voice => on = true,
            [_, "OFF", task, ..] if task == voice => on = false,
            _ => {}
        }
        if on && *at > limit {
            return Some(format!("{voice} starts {} ms after the limit", at - limit));
        }
    }
    let now = now_ms();
    (on && now > limit)
        .then(|| format!("{voice} is on a machine {} ms after the limit", now - limit))
}

fn sleep_s(seconds: f64) {
    std::thread::sleep(std::time::Duration::from_secs_f64(seconds));
}
