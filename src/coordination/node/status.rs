//! The status page of a controller, as text for operators; its format may change.
//!
//! A method of [`Node`] because the page covers most of what the node holds.

use std::fmt::{self, Write};
use std::time::{Duration, Instant};

use super::Node;
use super::state::{Leadership, PeerView};

impl Node {
    /// Renders the status page.
    pub fn status(&self) -> String {
        let mut page = String::new();
        // Writing to a string doesn't fail.
        let _ = self.write_status(&mut page);
        page
    }

    fn write_status(&self, page: &mut String) -> fmt::Result {
        let now = self.now();
        let leader = self.leader_id().unwrap_or_else(|| "unknown".into());
        let latencies = self.clients.kv.latencies();
        let mut state = self.lock();
        writeln!(
            page,
            "controller {} in {}, up {:?}",
            self.node_id(),
            self.settings.platform.zone,
            now.saturating_duration_since(self.started),
        )?;
        writeln!(page, "leader of the shard: {leader}")?;
        writeln!(
            page,
            "key-value store: {} answers, p50 {:?}, p99 {:?}, longest {:?}",
            latencies.answered_requests, latencies.p50, latencies.p99, latencies.max,
        )?;
        let may_run_tasks = self.run_deadline(&mut state, now).permit(now).is_some();
        let known = self.cancellations_known_up_to(&state, now);
        let age = known.map(|known| now.saturating_duration_since(known));
        write_freshness(page, age, may_run_tasks)?;
        writeln!(page, "heartbeats: {}", state.counters.heartbeat_answers)?;
        writeln!(page, "batches of commands: {}", state.counters.batches)?;
        for view in state.peers.views.values() {
            write_peer(page, view, now)?;
        }
        match &state.leadership {
            Some(leadership) => write_leadership(page, leadership, now),
            None => Ok(()),
        }
    }
}

fn write_freshness(page: &mut String, age: Option<Duration>, may_run_tasks: bool) -> fmt::Result {
    let Some(age) = age else {
        return writeln!(page, "cancellations: unknown, the jobs were not read yet");
    };
    let effect = if may_run_tasks {
        "tasks may start and workers' leases be renewed"
    } else {
        "no task is started and no worker's lease renewed"
    };
    writeln!(page, "cancellations: known up to {age:?} ago, {effect}")
}

fn write_peer(page: &mut String, view: &PeerView, now: Instant) -> fmt::Result {
    let heartbeat = &view.heartbeat;
    let kv = if heartbeat.kv_served {
        "reachable"
    } else {
        "unreachable"
    };
    writeln!(
        page,
        "peer {}: last heartbeat {:?} ago, key-value store {kv}, workers {}, fencing token {:?}",
        heartbeat.node_id,
        now.saturating_duration_since(view.received_at),
        heartbeat.reachable_workers,
        heartbeat.fencing_token,
    )
}

fn write_leadership(page: &mut String, leadership: &Leadership, now: Instant) -> fmt::Result {
    let deadline = if leadership.lease.is_live(now) {
        "before"
    } else {
        "past"
    };
    let fencing_token = leadership.lease.fencing_token;
    writeln!(
        page,
        "fencing token {fencing_token}, {deadline} its deadline"
    )?;
    writeln!(page, "time: {}", leadership.activities)?;
    page.push_str(&leadership.shard.describe(now));
    Ok(())
}
