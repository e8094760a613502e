//! What a worker's report is answered: the one place that decides whether its
//! lease goes on.

use std::sync::Arc;

use super::node::Node;
use super::shard::{ReportOutcome, delegate_commands};
use crate::protocol::workers::{Redirect, Report, ReportAnswer};

/// The answer to a report.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportReply {
    /// 200: the worker's lease goes on, and it executes these commands.
    Renewed(ReportAnswer),
    /// 503: its machine is known to be gone, or a higher term is about.
    Refused,
    /// 421: this controller isn't entitled to answer; that one may be.
    Elsewhere(Redirect),
}

/// Answers a report as the leader, or in its stead, or sends its worker on.
pub fn answer_report(node: &Arc<Node>, report: &Report) -> ReportReply {
    let now = node.now();
    node.lock().workers.insert(report.machine.clone(), now);
    if let Some(lease) = node.live_lease() {
        let outcome = node.with_shard(&lease, "reports", |shard, now| shard.report(report, now));
        // The shard took a moment: only a lease that still holds may answer.
        let now = node.now();
        match outcome {
            Some(ReportOutcome::Refuse) if lease.live(now) => return ReportReply::Refused,
            Some(ReportOutcome::Answer(commands)) if lease.live(now) => {
                if !node.may_renew_leases(now) {
                    return ReportReply::Elsewhere(Redirect { leader: None });
                }
                let term = lease.term;
                return ReportReply::Renewed(ReportAnswer { term, commands });
            }
            _ => {}
        }
    }
    if node.may_renew_leases(node.now())
        && let Some(term) = node.delegated_term(report)
    {
        // A leader past its deadline stays informed: it may go on.
        if let Some(lease) = node.lease().filter(|lease| lease.term == term) {
            node.with_shard(&lease, "reports", |shard, now| shard.report(report, now));
        }
        let commands = delegate_commands(report, |job| node.ledger.is_open(job));
        return ReportReply::Renewed(ReportAnswer { term, commands });
    }
    let leader = node.leader_label().filter(|label| label != node.label());
    ReportReply::Elsewhere(Redirect { leader })
}
