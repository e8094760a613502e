//! What delegated workers hold, laid out as values of the state service.
//!
//! A page holds whole reports. A report that is larger than a value may be, since the
//! limits were lowered, is divided into parts, each on a page of its own. An older
//! version ignores the field with the parts, and so takes no part for a whole report:
//! the machine is then accounted for by its worker's lease.

use std::collections::BTreeMap;

use super::records::{InventoryRecord, ReportPart, VERSION};
use crate::protocol::workers::{Report, TaskReport};

/// Room left in a page for its frame.
const PAGE_FRAME: usize = 96;
/// Room left in a page with a part for what the part adds to a report.
const PART_FRAME: usize = 128;

/// Pages that belong together: a page of whole reports, or all parts of one.
#[derive(Debug)]
pub struct Batch {
    /// The pages.
    pub pages: Vec<InventoryRecord>,
    /// What the pages hold, to be laid out again if they can't be written.
    pub reports: Vec<Report>,
}

/// The reports of delegated workers, by machine, that no page holds yet.
#[derive(Debug, Default)]
pub struct PendingReports {
    reports: BTreeMap<String, Report>,
}

impl PendingReports {
    /// Takes a report in; a newer one replaces it.
    pub fn insert(&mut self, report: Report) {
        self.reports.insert(report.machine.clone(), report);
    }

    /// Forgets all of them.
    pub fn clear(&mut self) {
        self.reports.clear();
    }

    /// Takes reports back that could not be written, unless there are newer ones.
    pub fn put_back(&mut self, reports: Vec<Report>) {
        for report in reports {
            self.reports.entry(report.machine.clone()).or_insert(report);
        }
    }

    /// Lays out the next reports for values of this size; None if there are none.
    /// `group` tells the parts of one report from those of all others.
    pub fn next_batch(&mut self, term: u64, value_bytes: usize, group: u64) -> Option<Batch> {
        let room = value_bytes.saturating_sub(PAGE_FRAME);
        let mut reports = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.reports.first_entry() {
            let size = json_size(next.get()) + 1;
            if bytes + size > room && !reports.is_empty() {
                break;
            }
            bytes += size;
            reports.push(next.remove());
            if bytes > room {
                return Some(divided(reports, term, room, group));
            }
        }
        if reports.is_empty() {
            return None;
        }
        let page = InventoryRecord {
            v: VERSION,
            term,
            reports: reports.clone(),
            parts: Vec::new(),
        };
        Some(Batch {
            pages: vec![page],
            reports,
        })
    }
}

/// Divides a report, the only one of these, into as many parts as it needs.
fn divided(reports: Vec<Report>, term: u64, room: usize, group: u64) -> Batch {
    let parts = reports
        .iter()
        .flat_map(|report| divide(report, room, group));
    let pages = parts.map(|part| InventoryRecord {
        v: VERSION,
        term,
        reports: Vec::new(),
        parts: vec![part],
    });
    Batch {
        pages: pages.collect(),
        reports,
    }
}

fn divide(report: &Report, room: usize, group: u64) -> Vec<ReportPart> {
    let part = |first: usize, tasks: &[TaskReport]| ReportPart {
        group,
        total: report.tasks.len(),
        first,
        report: Report {
            tasks: tasks.to_vec(),
            ..without_tasks(report)
        },
    };
    let frame = json_size(&without_tasks(report)) + PART_FRAME;
    let mut parts = Vec::new();
    let mut first = 0;
    let mut bytes = frame;
    for (at, task) in report.tasks.iter().enumerate() {
        let size = json_size(task) + 1;
        if bytes + size > room && at > first {
            parts.push(part(first, &report.tasks[first..at]));
            first = at;
            bytes = frame;
        }
        bytes += size;
    }
    parts.push(part(first, &report.tasks[first..]));
    parts
}

fn without_tasks(report: &Report) -> Report {
    Report {
        machine: report.machine.clone(),
        addr: report.addr.clone(),
        machine_type: report.machine_type.clone(),
        zone: report.zone.clone(),
        spot: report.spot,
        session: report.session,
        seq: report.seq,
        term: report.term,
        notice_s: report.notice_s,
        tasks: Vec::new(),
    }
}

fn json_size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX / 4, |text| text.len())
}

/// All reports that pages of one term hold whole, in one piece or in parts. A report
/// of which a part is missing is left out: less than all that a machine holds must
/// never be taken for all.
pub fn whole_reports(pages: impl IntoIterator<Item = InventoryRecord>, term: u64) -> Vec<Report> {
    let mut reports = Vec::new();
    let mut parts: BTreeMap<(u64, String), Vec<ReportPart>> = BTreeMap::new();
    for page in pages.into_iter().filter(|page| page.term == term) {
        reports.extend(page.reports);
        for part in page.parts {
            let key = (part.group, part.report.machine.clone());
            parts.entry(key).or_default().push(part);
        }
    }
    reports.extend(parts.into_values().filter_map(join));
    reports
}

/// Joins the parts of one report; None if one is missing.
fn join(mut parts: Vec<ReportPart>) -> Option<Report> {
    parts.sort_by_key(|part| part.first);
    let first = parts.first()?;
    let total = first.total;
    let mut joined = without_tasks(&first.report);
    for part in parts {
        let report = &part.report;
        let same = (part.total, report.session, report.seq) == (total, joined.session, joined.seq);
        if !same || part.first != joined.tasks.len() {
            return None;
        }
        joined.tasks.extend(part.report.tasks);
    }
    (joined.tasks.len() == total).then_some(joined)
}

#[cfg(test)]
mod tests;
