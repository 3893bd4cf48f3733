//! Order of the reports of an agent.
//!
//! Reports of one process of an agent are numbered. Its processes follow each other, but neither their incarnations nor
//! the workers that they report show in which order: a time of day may have been set back between two starts, and a new
//! owner knows no earlier report. A report therefore names the last answer that its process has received. An answer of this
//! term given after another process was first heard of shows that the reporting process was alive later, and so is its
//! successor.

use std::time::Instant;

use crate::term::State;
use crate::worker::REPORT_TIMEOUT;
use nutmegwalk_base::Epoch;
use nutmegwalk_supervisor::Report;

/// Place of a report among those that were applied before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReportOrder {
    /// It is later than all others of the agent.
    Latest,
    /// A later one of the same process, or of its successor, was applied before.
    Late,
    /// Its process may have ended before the known one began, or before the term. The next report of a living process
    /// names the answer to this one.
    Unconfirmed,
}

impl State {
    /// Returns the place of a report that arrives at `now`, in the term with `epoch`.
    pub(crate) fn order_of(&self, report: &Report, epoch: Epoch, now: Instant) -> ReportOrder {
        let known = self.agents.get(&report.agent);
        if let Some(known) = known
            && known.incarnation == report.incarnation
        {
            return if report.sequence > known.sequence {
                ReportOrder::Latest
            } else {
                ReportOrder::Late
            };
        }
        let Some(answer) = report.last_answer else {
            return self.order_by_heartbeat(report, now);
        };
        let is_successor = known.is_none_or(|known| answer.owner_clock_ms > known.joined_at_ms);
        if answer.epoch == epoch && is_successor {
            ReportOrder::Latest
        } else {
            ReportOrder::Unconfirmed
        }
    }

    /// Returns the place of a report of another process of an agent of an earlier release, which names no answer.
    fn order_by_heartbeat(&self, report: &Report, now: Instant) -> ReportOrder {
        let is_silent = self.agents.get(&report.agent).is_none_or(|known| {
            now.saturating_duration_since(known.last_report_at) > REPORT_TIMEOUT
        });
        if is_silent {
            return ReportOrder::Latest;
        }
        // A new process knows only later heartbeats of the worker.
        let is_late = report.worker.as_ref().is_some_and(|status| {
            let announcement = &status.announcement;
            self.workers
                .get(&announcement.worker.id)
                .is_some_and(|worker| {
                    worker.announcement.worker == announcement.worker
                        && worker.announcement.sequence >= announcement.sequence
                })
        });
        if is_late {
            ReportOrder::Late
        } else {
            ReportOrder::Latest
        }
    }
}
