//! Observation of the platform's table and of the entry hosts while a scenario runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::runner::Run;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_config::ChangeKind;
use nutmegwalk_node::api::Status;

/// Interval at which the committed version is read.
const HEAD_POLL: Duration = Duration::from_millis(10);
/// Interval at which the status and the readiness of an entry host are polled.
const STATUS_POLL: Duration = Duration::from_millis(200);
/// Timeout of a status request; a frozen or partitioned entry host does not answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a readiness probe, after which an entry host counts as not ready.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Period in which a data centre was out of service.
///
/// A commit is only known to lie between two reads of the table, so the period is a lower bound. It begins
/// after the read that showed the take-out, and ends with the last read that did not yet show the return.
#[derive(Clone, Debug)]
pub(crate) struct OutOfService {
    pub(crate) data_centre: DataCentreId,
    pub(crate) from: Duration,
    pub(crate) to: Option<Duration>,
}

/// Observations so far.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    pub(crate) version: ConfigVersion,
    pub(crate) out_of_service: Vec<OutOfService>,
    pub(crate) fragmentation: Vec<f64>,
    pub(crate) reservation_violations: BTreeSet<String>,
    pub(crate) degraded_guarantees: BTreeSet<Box<str>>,
    /// Versions of the processes as reported by each entry host.
    versions: BTreeMap<(usize, Box<str>), ConfigVersion>,
    /// Decreases of a version: entry host, process, version before and after.
    pub(crate) version_decreases: Vec<(usize, Box<str>, ConfigVersion, ConfigVersion)>,
    last_status: Option<Status>,
}

impl Observations {
    fn record_version(&mut self, entry: usize, process: &str, version: ConfigVersion) {
        let key = (entry, process.into());
        let before = self.versions.insert(key, version).unwrap_or(0);
        if version < before {
            self.version_decreases
                .push((entry, process.into(), before, version));
        }
    }

    fn record_status(&mut self, entry: usize, status: Status) {
        self.record_version(entry, &format!("entry-{entry}"), status.version);
        let own = format!("entry-{entry}");
        for process in &status.processes {
            if *process.process != *own {
                self.record_version(entry, &process.process, process.version);
            }
        }
        for data_centre in &status.data_centres {
            let Some(summary) = &data_centre.summary else {
                continue;
            };
            self.fragmentation.push(summary.fragmentation_ratio);
            self.degraded_guarantees
                .extend(summary.degraded_guarantees.iter().cloned());
            for violation in &summary.violations {
                let text = format!("{}: {violation}", data_centre.data_centre);
                self.reservation_violations.insert(text);
            }
        }
        self.last_status = Some(status);
    }

    /// Returns whether the data centre has an owner that reports its summary.
    pub(crate) fn is_owned(&self, data_centre: &str) -> bool {
        self.last_status.as_ref().is_some_and(|status| {
            status.data_centres.iter().any(|entry| {
                &*entry.data_centre == data_centre
                    && entry.owner.is_some()
                    && entry.summary.is_some()
            })
        })
    }

    /// Returns whether all reporting processes have at least `version`.
    pub(crate) fn is_in_force(&self, version: ConfigVersion) -> bool {
        self.last_status
            .as_ref()
            .is_some_and(|status| status.oldest_version >= version)
    }

    fn sum_over_owners(&self, value: impl Fn(&nutmegwalk_node::api::OwnerSummary) -> u32) -> u32 {
        let Some(status) = &self.last_status else {
            return 0;
        };
        status
            .data_centres
            .iter()
            .filter_map(|data_centre| data_centre.summary.as_ref())
            .map(value)
            .sum()
    }

    /// Returns the number of workers that the owners report.
    pub(crate) fn workers(&self) -> u32 {
        self.sum_over_owners(|summary| summary.workers)
    }

    /// Returns the number of accelerators that are not allocated to a task.
    pub(crate) fn free_accelerators(&self) -> u32 {
        self.sum_over_owners(|summary| summary.free_accelerators)
    }
}

impl Run {
    /// Observes the committed version, and the status and readiness of each entry host, until the run ends.
    pub(crate) fn spawn_observers(self: &Rc<Self>) {
        let run = Rc::clone(self);
        compio::runtime::spawn(async move { run.observe_commits().await }).detach();
        for entry in 0..self.scenario.deployment.entries {
            let run = Rc::clone(self);
            compio::runtime::spawn(async move { run.observe_status(entry).await }).detach();
            let run = Rc::clone(self);
            compio::runtime::spawn(async move { run.observe_readiness(entry).await }).detach();
        }
    }

    async fn observe_commits(&self) {
        let mut last_read_at = self.deployment.borrow().platform.now();
        while !self.ended.get() {
            let now = self.deployment.borrow().platform.now();
            let (known, committed) = (self.observations.borrow().version, self.table().version());
            for version in known + 1..=committed {
                let change = self.table().change(version);
                let mut observations = self.observations.borrow_mut();
                match change.map(|change| change.kind) {
                    Some(ChangeKind::TakeOut { data_centre, .. }) => {
                        observations.out_of_service.push(OutOfService {
                            data_centre,
                            // The change was committed before the read that showed it completed.
                            from: self.deployment.borrow().platform.now(),
                            to: None,
                        })
                    }
                    Some(ChangeKind::Return { data_centre }) => {
                        let open = observations.out_of_service.iter_mut().filter(|period| {
                            period.data_centre == data_centre && period.to.is_none()
                        });
                        for period in open {
                            period.to = Some(last_read_at);
                        }
                    }
                    Some(ChangeKind::Publish(_)) | None => {}
                }
            }
            self.observations.borrow_mut().version = committed.max(known);
            last_read_at = now;
            compio::time::sleep(HEAD_POLL).await;
        }
    }

    async fn observe_status(&self, entry: usize) {
        let operator = self.operator.clone().with_only_entry(entry);
        while !self.ended.get() {
            let status = compio::time::timeout(STATUS_TIMEOUT, operator.status()).await;
            if let Ok(Ok(status)) = status {
                self.observations.borrow_mut().record_status(entry, status);
            }
            compio::time::sleep(STATUS_POLL).await;
        }
    }

    /// Excludes an entry host from the callers' choice while it is not ready, as the platform's load balancer does.
    async fn observe_readiness(&self, entry: usize) {
        let probe = self.operator.clone().with_only_entry(entry);
        while !self.ended.get() {
            let ready = compio::time::timeout(PROBE_TIMEOUT, probe.is_ready()).await;
            if ready == Ok(true) {
                self.ready_entries.borrow_mut().insert(entry);
            } else {
                self.ready_entries.borrow_mut().remove(&entry);
            }
            compio::time::sleep(STATUS_POLL).await;
        }
    }
}
