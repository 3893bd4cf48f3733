//! What the platform's table and the entry hosts show while a scenario runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::runner::Run;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_config::ChangeKind;
use nutmegwalk_node::api::Status;

/// Time between two looks at the committed version.
const HEAD_POLL: Duration = Duration::from_millis(10);
/// Time between two looks at the status of an entry host.
const STATUS_POLL: Duration = Duration::from_millis(200);
/// Time for one answer; an entry host that is frozen or cut off gives none.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an answer to the balancer, after which an entry host counts as not ready.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A time for which a data centre was out of service.
///
/// A commit is only known to lie between two looks, so the time begins with the look that saw it and
/// ends with the last look before the return was seen.
#[derive(Clone, Debug)]
pub(crate) struct OutTime {
    pub(crate) data_centre: DataCentreId,
    pub(crate) from: Duration,
    pub(crate) to: Option<Duration>,
}

/// What was seen so far.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    pub(crate) version: ConfigVersion,
    pub(crate) out: Vec<OutTime>,
    pub(crate) fragmentation: Vec<f64>,
    pub(crate) reservations: BTreeSet<String>,
    pub(crate) degraded: BTreeSet<Box<str>>,
    /// Versions of processes as each entry host showed them.
    versions: BTreeMap<(usize, Box<str>), ConfigVersion>,
    /// Falls of a version: entry host, process, version before and after.
    pub(crate) falls: Vec<(usize, Box<str>, ConfigVersion, ConfigVersion)>,
    last: Option<Status>,
}

impl Watch {
    fn see_version(&mut self, entry: usize, process: &str, version: ConfigVersion) {
        let key = (entry, process.into());
        let before = self.versions.insert(key, version).unwrap_or(0);
        if version < before {
            self.falls.push((entry, process.into(), before, version));
        }
    }

    fn see(&mut self, entry: usize, status: Status) {
        self.see_version(entry, &format!("entry-{entry}"), status.version);
        let own = format!("entry-{entry}");
        for process in &status.processes {
            if *process.process != *own {
                self.see_version(entry, &process.process, process.version);
            }
        }
        for data_centre in &status.data_centres {
            let Some(summary) = &data_centre.summary else {
                continue;
            };
            self.fragmentation.push(summary.fragmentation_ratio);
            self.degraded
                .extend(summary.degraded_guarantees.iter().cloned());
            for violation in &summary.violations {
                let text = format!("{}: {violation}", data_centre.data_centre);
                self.reservations.insert(text);
            }
        }
        self.last = Some(status);
    }

    /// Returns whether the data centre has an owner that answers.
    pub(crate) fn is_owned(&self, data_centre: &str) -> bool {
        self.last.as_ref().is_some_and(|status| {
            status.data_centres.iter().any(|entry| {
                &*entry.data_centre == data_centre
                    && entry.owner.is_some()
                    && entry.summary.is_some()
            })
        })
    }

    /// Returns whether all processes that report have at least `version`.
    pub(crate) fn is_in_force(&self, version: ConfigVersion) -> bool {
        self.last
            .as_ref()
            .is_some_and(|status| status.oldest_version >= version)
    }

    fn sum(&self, of: impl Fn(&nutmegwalk_node::api::OwnerSummary) -> u32) -> u32 {
        let Some(status) = &self.last else { return 0 };
        status
            .data_centres
            .iter()
            .filter_map(|data_centre| data_centre.summary.as_ref())
            .map(of)
            .sum()
    }

    /// Returns the number of workers that owners know.
    pub(crate) fn workers(&self) -> u32 {
        self.sum(|summary| summary.workers)
    }

    /// Returns the number of accelerators that are not set aside for a task.
    pub(crate) fn free_accelerators(&self) -> u32 {
        self.sum(|summary| summary.free_accelerators)
    }
}

impl Run {
    /// Follows the committed version and the status of each entry host until the run ends.
    pub(crate) fn spawn_watch(self: &Rc<Self>) {
        let run = Rc::clone(self);
        compio::runtime::spawn(async move { run.watch_head().await }).detach();
        for entry in 0..self.scenario.deployment.entries {
            let run = Rc::clone(self);
            compio::runtime::spawn(async move { run.watch_status(entry).await }).detach();
            let run = Rc::clone(self);
            compio::runtime::spawn(async move { run.balance(entry).await }).detach();
        }
    }

    async fn watch_head(&self) {
        let mut last_look = self.deployment.borrow().platform.now();
        while !self.ended.get() {
            let now = self.deployment.borrow().platform.now();
            let (seen, committed) = (self.watch.borrow().version, self.table().version());
            for version in seen + 1..=committed {
                let change = self.table().change(version);
                let mut watch = self.watch.borrow_mut();
                match change.map(|change| change.kind) {
                    Some(ChangeKind::TakeOut { data_centre, .. }) => watch.out.push(OutTime {
                        data_centre,
                        // The change was committed before the look that shows it ended.
                        from: self.deployment.borrow().platform.now(),
                        to: None,
                    }),
                    Some(ChangeKind::Return { data_centre }) => {
                        let open = watch
                            .out
                            .iter_mut()
                            .filter(|out| out.data_centre == data_centre && out.to.is_none());
                        for out in open {
                            out.to = Some(last_look);
                        }
                    }
                    Some(ChangeKind::Publish(_)) | None => {}
                }
            }
            self.watch.borrow_mut().version = committed.max(seen);
            last_look = now;
            compio::time::sleep(HEAD_POLL).await;
        }
    }

    async fn watch_status(&self, entry: usize) {
        let operator = self.operator.clone().with_only_entry(entry);
        while !self.ended.get() {
            let status = compio::time::timeout(STATUS_TIMEOUT, operator.status()).await;
            if let Ok(Ok(status)) = status {
                self.watch.borrow_mut().see(entry, status);
            }
            compio::time::sleep(STATUS_POLL).await;
        }
    }

    /// Keeps callers away from an entry host that is not ready, as the platform's balancer does.
    async fn balance(&self, entry: usize) {
        let probe = self.operator.clone().with_only_entry(entry);
        while !self.ended.get() {
            let ready = compio::time::timeout(PROBE_TIMEOUT, probe.is_ready()).await;
            if ready == Ok(true) {
                self.balanced.borrow_mut().insert(entry);
            } else {
                self.balanced.borrow_mut().remove(&entry);
            }
            compio::time::sleep(STATUS_POLL).await;
        }
    }
}
