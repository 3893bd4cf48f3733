//! Tracking of the reports that each upstream has received.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::Report;
use crate::ReportUpdate;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::ProcessId;

/// Reports that one upstream has acknowledged. A report that has not changed since is not sent again.
#[derive(Debug, Default)]
pub(crate) struct DeliveryTracker {
    delivered: BTreeMap<ProcessId, Delivered>,
}

/// The report of one process as last acknowledged by the upstream.
#[derive(Debug)]
struct Delivered {
    incarnation: Incarnation,
    revision: u64,
    /// When the report or its digest was last sent.
    digest_at: Instant,
}

impl DeliveryTracker {
    /// Returns the update to send for one report: the whole report if the upstream lacks it, otherwise a
    /// heartbeat, with a digest if the last one was sent at least `digest_interval` ago.
    pub(crate) fn build_update(
        &self,
        report: &Report,
        confirmed_version: ConfigVersion,
        since_contact: Duration,
        now: Instant,
        digest_interval: Duration,
    ) -> ReportUpdate {
        let delivered = self.delivered.get(&report.process).filter(|delivered| {
            delivered.incarnation == report.incarnation && delivered.revision == report.revision
        });
        let digest_due = delivered.is_some_and(|delivered| {
            now.saturating_duration_since(delivered.digest_at) >= digest_interval
        });
        ReportUpdate {
            process: report.process.clone(),
            incarnation: report.incarnation,
            revision: report.revision,
            confirmed_version,
            silent_ms: u64::try_from(since_contact.as_millis()).unwrap_or(u64::MAX),
            digest: digest_due.then(|| report.digest()),
            report: delivered.is_none().then(|| report.clone()),
        }
    }

    /// Records that the upstream answered a poll that carried `updates` and requested the whole reports of
    /// `wanted`.
    pub(crate) fn record_answer(
        &mut self,
        updates: &[ReportUpdate],
        wanted: &[ProcessId],
        now: Instant,
    ) {
        // This also drops processes that are no longer reported.
        let mut previous = std::mem::take(&mut self.delivered);
        for update in updates {
            let digest_at = match previous.remove(&update.process) {
                Some(last) if update.report.is_none() && update.digest.is_none() => last.digest_at,
                _ => now,
            };
            let delivered = Delivered {
                incarnation: update.incarnation,
                revision: update.revision,
                digest_at,
            };
            self.delivered.insert(update.process.clone(), delivered);
        }
        for process in wanted {
            self.delivered.remove(process);
        }
    }
}
