//! The owner of a data centre: places its jobs, starts and stops their gangs, and records their ends.
//!
//! Any agent of the data centre may hold the ownership lease. A term lasts from acquiring the lease to
//! losing it. The state of a term is built only from the table and from the agents' reports.

mod checkpoint;
mod job_poll;
pub mod messages;
mod plan;
mod record;
mod release;
mod reports;
mod start;
mod stop;
mod term;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join;
use log::info;

use crate::api::JobExplanation;
use crate::api::OwnerSummary;
use crate::job_table::JobTable;
use crate::owner::messages::AgentReport;
use crate::owner::messages::ExplainRequest;
use crate::owner::messages::JobNotice;
use crate::owner::messages::ReleaseRequest;
use crate::owner::messages::SummaryRequest;
use crate::owner::term::Phase;
use crate::owner::term::Term;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_fleet::Policy;
use nutmegwalk_gang::GangDriver;
use nutmegwalk_gang::GangTimings;
use nutmegwalk_gang::StartPermission;
use nutmegwalk_lease::Ownership;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Message;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;
use nutmegwalk_sync::View;

/// Intervals and timeouts of an owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerTimings {
    /// Interval of planning rounds.
    pub tick: Duration,
    /// Interval of reads of the data centre's jobs; after a [`JobNotice`] they are read immediately.
    pub job_poll: Duration,
    /// Time without reports after which a worker counts as failed.
    pub worker_timeout: Duration,
    /// Time for which a new owner waits for the reports that resolve earlier attempts before it plans without
    /// them.
    pub rebuild: Duration,
    /// Time after a start during which reports may not contain the attempt yet.
    pub report_lag: Duration,
    /// Interval of checkpoints of a running gang, which bounds the work lost with a member.
    pub checkpoint: Duration,
    /// Intervals of the gang protocol.
    pub gang: GangTimings,
}

impl Default for OwnerTimings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            job_poll: Duration::from_secs(2),
            worker_timeout: Duration::from_secs(5),
            // Agents discover a new owner within 1.5 s and report once a second.
            rebuild: Duration::from_millis(2500),
            report_lag: Duration::from_secs(3),
            checkpoint: Duration::from_secs(60),
            gang: GangTimings::default(),
        }
    }
}

/// Acts as the owner of a data centre on one agent while it holds the lease; clones share the state.
#[derive(Clone)]
pub struct DataCentreOwner {
    inner: Rc<Inner>,
}

struct Inner {
    data_centre: DataCentreId,
    ownership: Rc<Ownership>,
    jobs: JobTable,
    client: Client,
    driver: GangDriver,
    view: View,
    secret: Secret,
    policy: Policy,
    timings: OwnerTimings,
    term: RefCell<Option<Term>>,
    job_poll_due: Cell<bool>,
}

/// Permits the owner's commands only while it holds its lease and a recently confirmed view.
struct OwnerPermission {
    data_centre: DataCentreId,
    ownership: Rc<Ownership>,
    view: View,
}

impl StartPermission for OwnerPermission {
    fn check(&self, epoch: Epoch) -> Result<()> {
        if self
            .ownership
            .current()
            .is_none_or(|held| held.epoch != epoch)
        {
            return Err(Error::new(
                ErrorKind::StaleEpoch,
                "the ownership lease is no longer held",
            ));
        }
        self.view.check_start_permission(&self.data_centre)
    }
}

impl DataCentreOwner {
    /// Creates an owner of `data_centre`, which acts while `ownership` is held.
    #[must_use]
    pub fn new(
        data_centre: DataCentreId,
        ownership: Rc<Ownership>,
        jobs: JobTable,
        client: Client,
        view: View,
        secret: Secret,
    ) -> Self {
        let timings = OwnerTimings::default();
        let permission = OwnerPermission {
            data_centre: data_centre.clone(),
            ownership: Rc::clone(&ownership),
            view: view.clone(),
        };
        let driver = GangDriver::new(client.clone())
            .with_timings(timings.gang)
            .with_permission(Rc::new(permission));
        Self {
            inner: Rc::new(Inner {
                data_centre,
                ownership,
                jobs,
                client,
                driver,
                view,
                secret,
                policy: Policy::Guaranteed,
                timings,
                term: RefCell::new(None),
                job_poll_due: Cell::new(true),
            }),
        }
    }

    /// Sets the placement policy, for comparisons with the baseline policies.
    ///
    /// # Panics
    /// In debug builds, when the owner has been cloned and has another policy.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        if let Some(inner) = Rc::get_mut(&mut self.inner) {
            inner.policy = policy;
        }
        debug_assert!(self.inner.policy == policy);
        self
    }

    /// Sets the intervals.
    ///
    /// # Panics
    /// In debug builds, when the owner has been cloned.
    #[must_use]
    pub fn with_timings(mut self, timings: OwnerTimings) -> Self {
        let is_unique = Rc::get_mut(&mut self.inner)
            .map(|inner| {
                inner.timings = timings;
                inner.driver = inner.driver.clone().with_timings(timings.gang);
            })
            .is_some();
        debug_assert!(is_unique);
        self
    }

    /// Acts as the owner whenever the lease is held, until `drain` starts.
    pub async fn run(&self, drain: Drain) {
        let planning = async {
            while !drain.is_started() {
                self.tick();
                compio::time::sleep(self.inner.timings.tick).await;
            }
        };
        // Reads from a slow store must not delay planning.
        join(planning, self.poll_jobs(&drain)).await;
    }

    fn tick(&self) {
        let Some(epoch) = self.update_term() else {
            return;
        };
        self.cancel_requested_jobs(epoch);
        self.resolve_earlier_attempts(epoch);
        self.plan(epoch);
        self.request_due_checkpoints(epoch);
    }

    /// Starts a term after the lease was acquired, ends it after the lease was lost, and applies the newest
    /// configuration. Returns the epoch of the term.
    fn update_term(&self) -> Option<Epoch> {
        let held = self.inner.ownership.current();
        let mut term = self.inner.term.borrow_mut();
        let Some(held) = held else {
            if let Some(ended) = term.take() {
                info!(data_centre = &*self.inner.data_centre, epoch = ended.epoch; "ownership lost");
            }
            return None;
        };
        if term.as_ref().is_none_or(|term| term.epoch != held.epoch) {
            info!(data_centre = &*self.inner.data_centre, epoch = held.epoch; "ownership acquired");
            *term = Some(Term::new(held.epoch, self.inner.policy));
            self.inner.job_poll_due.set(true);
        }
        let configuration = self.inner.view.configuration();
        if configuration.version > 0
            && let Some(term) = term.as_mut()
        {
            let in_service = !configuration
                .taken_out
                .contains_key(&self.inner.data_centre);
            term.apply_configuration(&configuration, &self.inner.data_centre, in_service);
        }
        Some(held.epoch)
    }

    /// Runs `action` on the term with `epoch`; returns `None` when that term has ended.
    fn with_term<T>(&self, epoch: Epoch, action: impl FnOnce(&mut Term) -> T) -> Option<T> {
        let mut term = self.inner.term.borrow_mut();
        term.as_mut().filter(|term| term.epoch == epoch).map(action)
    }

    /// Handles a request for one of the owner's paths; returns `None` for other paths.
    #[must_use]
    pub fn handle(&self, request: &Request) -> Option<Response> {
        let secret = &self.inner.secret;
        let response = match &*request.path {
            AgentReport::PATH => Response::message(
                &request
                    .message::<AgentReport>(secret)
                    .and_then(|report| self.handle_report(report)),
            ),
            JobNotice::PATH => {
                let notice = request.message::<JobNotice>(secret);
                Response::message(&notice.map(|_| self.inner.job_poll_due.set(true)))
            }
            SummaryRequest::PATH => Response::message(
                &request
                    .message::<SummaryRequest>(secret)
                    .and_then(|_| self.summary()),
            ),
            ExplainRequest::PATH => Response::message(
                &request
                    .message::<ExplainRequest>(secret)
                    .and_then(|message| self.explain(&message.job)),
            ),
            ReleaseRequest::PATH => Response::message(
                &request
                    .message::<ReleaseRequest>(secret)
                    .and_then(|message| self.release(&message)),
            ),
            _ => return None,
        };
        Some(response)
    }

    /// Returns a summary of the data centre's state.
    ///
    /// # Errors
    /// `stale_epoch` when this process is not the owner.
    pub fn summary(&self) -> Result<OwnerSummary> {
        let term = self.inner.term.borrow();
        let term = term.as_ref().ok_or_else(not_owner)?;
        let releasable = term.jobs.values().filter(|entry| entry.is_releasable());
        let measures = term.fleet.measures(term.now());
        let count = |matches: fn(&Phase) -> bool| {
            let jobs = term.jobs.values().filter(|entry| matches(&entry.phase));
            u32::try_from(jobs.count()).unwrap_or(u32::MAX)
        };
        Ok(OwnerSummary {
            workers: u32::try_from(term.workers.values().filter(|worker| worker.usable).count())
                .unwrap_or(u32::MAX),
            accelerators: u32::try_from(measures.usable_accelerators).unwrap_or(u32::MAX),
            free_accelerators: u32::try_from(measures.free_accelerators).unwrap_or(u32::MAX),
            running_jobs: count(|phase| matches!(phase, Phase::Running { .. })),
            waiting_jobs: count(|phase| !matches!(phase, Phase::Running { .. })),
            releasable_jobs: u32::try_from(releasable.count()).unwrap_or(u32::MAX),
            queued_jobs: count(|phase| matches!(phase, Phase::Queued)),
            free_workers: term.free_workers(),
            fragmentation_ratio: measures.fragmentation_ratio,
            degraded_guarantees: term
                .fleet
                .degraded()
                .iter()
                .map(|guarantee| format!("{}/{}", guarantee.customer, guarantee.guarantee).into())
                .collect(),
            violations: term
                .fleet
                .check()
                .into_iter()
                .map(|violation| violation.detail)
                .collect(),
        })
    }

    /// Explains the state of a job or the reason why it waits.
    ///
    /// # Errors
    /// `stale_epoch` when this process is not the owner, `not_found` when it does not have the job.
    pub fn explain(&self, job: &str) -> Result<JobExplanation> {
        let term = self.inner.term.borrow();
        let term = term.as_ref().ok_or_else(not_owner)?;
        let entry = term.jobs.get(job).ok_or_else(|| {
            Error::new(
                ErrorKind::NotFound,
                format!("job `{job}` is not in {}", self.inner.data_centre),
            )
        })?;
        let planned = term.fleet.explain(job);
        let reason: Box<str> = match &entry.phase {
            Phase::Unresolved => {
                "an earlier attempt may still be running; waiting for reports of its workers".into()
            }
            Phase::Queued => planned.as_ref().map_or_else(
                || "waits until its data centre has enough workers".into(),
                |planned| planned.text.clone(),
            ),
            Phase::Starting { .. } => "is being started on all its workers".into(),
            Phase::Running { .. } => "runs".into(),
            Phase::Ending => "is being stopped, or its end is being recorded".into(),
        };
        let is_queued = matches!(entry.phase, Phase::Queued);
        let run = entry.stored.record.run.as_ref().filter(|_| !is_queued);
        Ok(JobExplanation {
            job: job.into(),
            reason,
            workers: run
                .map(|run| {
                    run.placements
                        .iter()
                        .map(|placement| placement.worker.clone())
                        .collect()
                })
                .unwrap_or_default(),
            queue_position: planned
                .as_ref()
                .filter(|_| is_queued)
                .map(|planned| u32::try_from(planned.ahead).unwrap_or(u32::MAX)),
            borrowed: planned.is_some_and(|planned| planned.borrowed),
        })
    }
}

fn not_owner() -> Error {
    Error::new(
        ErrorKind::StaleEpoch,
        "this process does not own the data centre",
    )
}
