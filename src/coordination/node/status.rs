//! The status page of a controller, as text for operators.

use super::Node;

impl Node {
    /// What operators may want to know, as text.
    pub fn status(&self) -> String {
        let now = self.now();
        let leader = self.leader_id().unwrap_or_else(|| "unknown".into());
        let latencies = self.kv.latencies();
        let inner = self.lock();
        let mut page = format!(
            "controller {} in {}, up {:?}\nleader of the shard: {leader}\n\
             key-value store: {} answers, p50 {:?}, p99 {:?}, longest {:?}\n",
            self.node_id(),
            self.settings.platform.area,
            now.saturating_duration_since(self.started),
            latencies.answered,
            latencies.p50,
            latencies.p99,
            latencies.longest,
        );
        for view in inner.peers.views.values() {
            page.push_str(&format!(
                "peer {}: heard {:?} ago, key-value store {}, workers {}, fencing token {:?}\n",
                view.heartbeat.node_id,
                now.saturating_duration_since(view.at),
                if view.heartbeat.kv_served {
                    "serves it"
                } else {
                    "doesn't"
                },
                view.heartbeat.reachable_workers,
                view.heartbeat.fencing_token,
            ));
        }
        if let Some(own) = &inner.leadership {
            page.push_str(&format!(
                "fencing token {}, {} its deadline\n",
                own.lease.fencing_token,
                if own.lease.live(now) {
                    "before"
                } else {
                    "past"
                }
            ));
            page.push_str(&format!("time: {}\n", own.activities));
            page.push_str(&own.shard.describe(now));
        }
        page
    }
}
