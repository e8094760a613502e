//! Case 4: a new leader forgets a running task whose machine also lists an exited attempt of it.

use crate::driver::*;

const X: &str = "run-000001";
const Y: &str = "run-000002";
const Z: &str = "run-000003";

pub fn run(record: &str, trouble: bool) -> i32 {
    let zones = ["gdansk-loft", "poznan-hall", "gdansk-loft"];
    let mut d = Deployment::start(record, &CHORUS, &zones, &["gdansk-loft", "gdansk-loft"]);
    let verdict = scenario(&mut d, trouble);
    d.finish(verdict)
}

fn is_on(line: &str, id: &str) -> Option<String> {
    let (who, what) = line.split_once(": ")?;
    what.starts_with(&format!("ON {id}/0 "))
        .then(|| who.to_owned())
}

fn scenario(d: &mut Deployment, trouble: bool) -> Verdict {
    let not_run = |why: &str| Verdict::NotRun(why.to_owned());
    // A leader in the machines' zone, so that no handover to that zone follows.
    let leader_at_home = |d: &Deployment| {
        d.leader()
            .filter(|index| d.nodes[*index].area == "gdansk-loft")
    };
    let Some(leader) = d.wait(40.0, leader_at_home) else {
        return not_run("no leader");
    };
    // Z fills one machine.
    d.upload(Z, 1, 16.0, 300.0, false);
    let accepted = d.submit(&submission(Z, "batch", "prod", 1, 16.0, 300.0));
    let host = |id: &'static str| {
        move |d: &Deployment| d.events().iter().find_map(|(_, line)| is_on(line, id))
    };
    let Some(z_host) = d.wait(20.0, host(Z)).filter(|_| accepted) else {
        return not_run("the first job did not start");
    };
    let x_index = d
        .machines
        .iter()
        .position(|m| m.name != z_host)
        .expect("another machine");
    let x_name = d.machines[x_index].name.clone();
    sleep(2.0);
    // X is launched on the other machine, which hangs for a few seconds at that moment.
    if trouble {
        d.signal_machine(x_index, "STOP");
    }
    d.upload(X, 1, 16.0, 300.0, false);
    d.submit(&submission(X, "batch", "standard", 1, 16.0, 300.0));
    sleep(4.0);
    if trouble {
        d.signal_machine(x_index, "CONT");
    }
    if d.wait(20.0, host(X)).as_ref() != Some(&x_name) {
        return not_run("the second job did not start on the other machine");
    }
    // Y has a higher priority: X is stopped for it, and starts again after it.
    sleep(2.0);
    d.upload(Y, 1, 16.0, 4.0, false);
    d.submit(&submission(Y, "batch", "prod", 1, 16.0, 4.0));
    let x_starts = |d: &Deployment| {
        let events = d.events();
        (events
            .iter()
            .filter(|(_, line)| is_on(line, X).is_some())
            .count()
            >= 2)
            .then_some(())
    };
    if d.wait(30.0, x_starts).is_none() {
        return not_run("the second job did not start again");
    }
    sleep(4.0);
    if d.leader() != Some(leader) {
        return not_run("the leader changed by itself");
    }
    // The leader is killed, and comes back after about 4 s.
    if trouble {
        d.kill_node(leader);
        sleep(4.0);
        d.start_node(leader);
    }
    // Z's user cancels it, so that its machine has room.
    sleep(6.0);
    for attempt in 0..20 {
        let index = attempt % 3;
        if let Some((200, _)) = d.request(index, "POST", &format!("/v1/jobs/{Z}/cancel"), "") {
            break;
        }
        sleep(1.0);
    }
    let double = d.wait(20.0, |d| first_double_start(&d.events()));
    match double {
        Some(line) => Verdict::Broken(format!("ran_twice: {line}")),
        None => Verdict::Held("no task started on a machine while it was on another".into()),
    }
}

fn sleep(seconds: f64) {
    std::thread::sleep(std::time::Duration::from_secs_f64(seconds));
}
