//! Heartbeats: what each controller says of itself once a second.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{ROUND_DEADLINE, ask, extension};
use crate::coordination::node::{Node, PeerView};
use crate::coordination::standing::StandingLoan;
use crate::protocol::peers::{PeerAnswer, PeerRequest, Progress, Pulse};

/// How long a worker that came by counts as heard.
const HEARD: Duration = Duration::from_secs(8);

/// What this node says of itself.
pub fn own_pulse(node: &Node) -> Pulse {
    let now = node.now();
    let state_served = !node.state_lost();
    let mut inner = node.lock();
    inner
        .workers
        .retain(|_, at| now.saturating_duration_since(*at) < HEARD);
    let term = inner
        .ownership
        .as_ref()
        .filter(|own| own.tenure.live(now))
        .map(|own| own.tenure.term);
    Pulse {
        label: node.label().to_owned(),
        zone: node.settings.platform.area.clone(),
        state_served,
        workers_heard: inner.workers.len() as u32,
        up_s: now.saturating_duration_since(node.started).as_secs(),
        term,
        main_zone: inner.main_zone.clone(),
        progress: Vec::new(),
        deaf: inner.deaf_until.is_some_and(|until| until > now),
        // An earlier run may have kept workers until this one started.
        kept_ago_ms: now
            .saturating_duration_since(inner.kept_alone.unwrap_or(node.started))
            .as_millis() as u64,
    }
}

/// How far the jobs are, if this node runs the shard.
fn progress(node: &Node) -> Vec<Progress> {
    let inner = node.lock();
    let Some(own) = &inner.ownership else {
        return Vec::new();
    };
    own.shard
        .progress()
        .map(|(job, done, running)| Progress {
            job: job.to_string(),
            done,
            running,
        })
        .collect()
}

/// Sends a heartbeat to every other controller; the answers are taken in as they come.
pub(super) fn send_to_all(node: &Arc<Node>) {
    let mut own = own_pulse(node);
    own.progress = progress(node);
    for peer in &node.settings.platform.others {
        let (node, peer) = (node.clone(), peer.clone());
        let (request, told) = (PeerRequest::Pulse(own.clone()), own.term);
        tokio::spawn(async move {
            let sent = node.now();
            let answer = ask(&node, &peer, &request, ROUND_DEADLINE).await;
            if let Some(PeerAnswer::Pulse(pulse)) = answer {
                pulse_answered(&node, pulse, sent, told);
            }
        });
    }
}

/// Answers a pulse, which lends its sender the keeping of workers in advance.
pub fn answer_pulse(node: &Node, pulse: Pulse) -> Pulse {
    let label = pulse.label.clone();
    heard_pulse(node, pulse);
    let answer = own_pulse(node);
    if let Some(term) = answer.term
        && let Some(own) = &mut node.lock().ownership
        && own.tenure.term == term
    {
        own.lender.grant(&label, node.now());
    }
    answer
}

/// Takes in the answer to a pulse that was sent at `sent` under the term `told`.
pub(crate) fn pulse_answered(node: &Node, pulse: Pulse, sent: Instant, told: Option<u64>) {
    let now = node.now();
    let kept = now.checked_sub(Duration::from_millis(pulse.kept_ago_ms));
    {
        let mut inner = node.lock();
        if let Some(term) = pulse.term {
            inner.standing = Some(StandingLoan::renewed(inner.standing, term, sent));
        }
        // Who was told our term keeps nothing for a while.
        if let Some(own) = &mut inner.ownership
            && told == Some(own.tenure.term)
        {
            let kept = kept.unwrap_or(own.tenure.since);
            own.lender.answered(&pulse.label, sent, kept);
        }
    }
    heard_pulse(node, pulse);
}

/// Notes what a peer says of itself.
pub fn heard_pulse(node: &Node, mut pulse: Pulse) {
    let at = node.now();
    let mut inner = node.lock();
    if pulse.term.is_some() && !pulse.progress.is_empty() {
        inner.progress = std::mem::take(&mut pulse.progress)
            .into_iter()
            .map(|row| (row.job, (row.done, row.running)))
            .collect();
    }
    if let Some(term) = pulse.term {
        extension::end_earlier(&inner, term);
    }
    if let Some(term) = pulse.term
        && inner.owner_heard.is_none_or(|(known, _)| term >= known)
    {
        inner.owner_heard = Some((term, at));
    }
    if pulse.term.is_some() && pulse.main_zone.is_some() {
        inner.main_zone.clone_from(&pulse.main_zone);
    }
    inner
        .peers
        .insert(pulse.label.clone(), PeerView { pulse, at });
}
