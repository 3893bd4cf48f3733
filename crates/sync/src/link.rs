//! What one upstream is known to have of the reports.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::Report;
use crate::ReportUpdate;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::ProcessId;

/// Reports that one upstream has, so that only changes are sent.
#[derive(Debug, Default)]
pub(crate) struct Link {
    delivered: BTreeMap<ProcessId, Delivered>,
}

#[derive(Debug)]
struct Delivered {
    incarnation: Incarnation,
    revision: u64,
    digest_at: Instant,
}

impl Link {
    /// Makes the update for one report: the whole report if the upstream lacks it, otherwise a sign of
    /// life, with a digest when the last one is `digest_interval` ago.
    pub(crate) fn update(
        &self,
        report: &Report,
        confirmed_version: ConfigVersion,
        silence: Duration,
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
            silent_ms: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
            digest: digest_due.then(|| report.digest()),
            report: delivered.is_none().then(|| report.clone()),
        }
    }

    /// Notes that the upstream answered a poll with `updates` and asked for `wanted`.
    pub(crate) fn delivered(
        &mut self,
        updates: &[ReportUpdate],
        wanted: &[ProcessId],
        now: Instant,
    ) {
        // Processes that are no longer reported are forgotten here too.
        let mut previous = std::mem::take(&mut self.delivered);
        for update in updates {
            let digest_at = match previous.remove(&update.process) {
                Some(held) if update.report.is_none() && update.digest.is_none() => held.digest_at,
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
