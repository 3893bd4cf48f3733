//! Assignment of jobs to data centres: at acceptance, and again after a job lost its home.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use log::info;
use log::warn;

use crate::api::OwnerSummary;
use crate::entry::failover::DataCentreFailover;
use crate::job_table::JobTable;
use crate::job_table::StoredJob;
use crate::jobs::JobRecord;
use crate::jobs::JobRequest;
use crate::jobs::JobState;
use crate::jobs::UNASSIGNED;
use crate::jobs::unix_ms;
use crate::owner::messages::JobNotice;
use crate::owner::messages::ReleaseRequest;
use crate::owner::messages::SummaryRequest;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_config::Configuration;
use nutmegwalk_lease::OwnerRow;
use nutmegwalk_lease::Ownership;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_sync::View;

/// Interval of requests for the owners' summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one message to an owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the dispatcher's scan for jobs without a data centre.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of balancing rounds; long enough for the summaries to reflect one round before the next.
const BALANCE_INTERVAL: Duration = Duration::from_secs(3);

/// State of the data centres as seen by an entry host, for choosing one for a job.
pub(crate) struct DataCentres {
    view: View,
    client: Client,
    states: RefCell<BTreeMap<DataCentreId, DataCentreState>>,
    /// Data centres that get no jobs although they may be in service.
    excluded: RefCell<BTreeSet<DataCentreId>>,
}

#[derive(Clone, Default)]
struct DataCentreState {
    summary: Option<OwnerSummary>,
    /// Accelerators requested by jobs that were sent there since the summary was received.
    sent_accelerators: u64,
}

impl DataCentres {
    pub(crate) fn new(view: View, client: Client) -> Self {
        Self {
            view,
            client,
            states: RefCell::default(),
            excluded: RefCell::default(),
        }
    }

    pub(crate) fn set_excluded(&self, data_centres: BTreeSet<DataCentreId>) {
        *self.excluded.borrow_mut() = data_centres;
    }

    /// Returns the lease row of a data centre's owner; `None` if it has none.
    pub(crate) fn owner_row(&self, data_centre: &str) -> Option<OwnerRow> {
        let owners = self.view.owners();
        let row: OwnerRow = serde_json::from_str(&owners.get(data_centre)?.value).ok()?;
        (!row.is_released()).then_some(row)
    }

    /// Returns the address of a data centre's owner.
    pub(crate) fn owner_address(&self, data_centre: &str) -> Option<SocketAddr> {
        self.owner_row(data_centre)?.address.parse().ok()
    }

    /// Returns the latest summary of a data centre's owner.
    pub(crate) fn summary(&self, data_centre: &str) -> Option<OwnerSummary> {
        self.states.borrow().get(data_centre)?.summary.clone()
    }

    /// Refreshes the summaries periodically until `drain` starts.
    pub(crate) async fn run(&self, drain: Drain) {
        while !drain.is_started() {
            self.refresh().await;
            compio::time::sleep(SUMMARY_INTERVAL).await;
        }
    }

    async fn refresh(&self) {
        let configuration = self.view.configuration();
        let requests = configuration
            .data_centres
            .keys()
            .map(|data_centre| async move {
                let owner = self.owner_address(data_centre)?;
                self.client
                    .send(owner, &SummaryRequest {}, OWNER_TIMEOUT)
                    .await
                    .ok()
            });
        let summaries = join_all(requests).await;
        let mut states = self.states.borrow_mut();
        states.clear();
        for (data_centre, summary) in configuration.data_centres.keys().zip(summaries) {
            states.insert(
                data_centre.clone(),
                DataCentreState {
                    summary,
                    sent_accelerators: 0,
                },
            );
        }
    }

    /// Requests owners with waiting jobs to release those that fit into the free capacity of a data centre
    /// without a queue.
    pub(crate) async fn balance(&self) {
        for (source, target) in self.balance_pairs() {
            let Some(owner) = self.owner_address(&source) else {
                continue;
            };
            match self.client.send(owner, &target, OWNER_TIMEOUT).await {
                Ok(released) if !released.jobs.is_empty() => {
                    info!(from = &*source, to = &*target.data_centre; "{} jobs were released", released.jobs.len());
                }
                Ok(_) => {}
                Err(error) => {
                    warn!(data_centre = &*source; "cannot request a release of jobs: {error}")
                }
            }
        }
    }

    /// Pairs each data centre that has jobs to release with one that has free capacity.
    fn balance_pairs(&self) -> Vec<(DataCentreId, ReleaseRequest)> {
        let configuration = self.view.configuration();
        let states = self.states.borrow();
        let summaries = states.iter().filter_map(|(id, state)| {
            let is_out = configuration.taken_out.contains_key(id);
            Some((id, state, state.summary.as_ref().filter(|_| !is_out)?))
        });
        let (mut sources, mut targets) = (Vec::new(), Vec::new());
        for (id, state, summary) in summaries {
            if summary.releasable_jobs > 0 {
                sources.push((summary.releasable_jobs, id));
            } else if summary.queued_jobs == 0 && state.sent_accelerators == 0 {
                targets.push((summary.free_accelerators, id, &summary.free_workers));
            }
        }
        // The longest queue gets the most free capacity. Each target is offered to one owner only.
        sources.sort_unstable();
        targets.sort_unstable_by_key(|(free, id, _)| (*free, *id));
        let targets = targets.into_iter().rev().filter(|(free, ..)| *free > 0);
        let pairs = sources.into_iter().rev().zip(targets);
        pairs
            .map(|((_, source), (_, target, free))| {
                let request = ReleaseRequest {
                    data_centre: target.clone(),
                    free: free.clone(),
                };
                (source.clone(), request)
            })
            .collect()
    }

    /// Notifies the owner that the row of a job has changed. A lost notice does no harm, because the owner
    /// also reads its jobs periodically.
    pub(crate) fn notify(&self, data_centre: &str, job: &str) {
        let Some(owner) = self.owner_address(data_centre) else {
            return;
        };
        let (client, notice) = (self.client.clone(), JobNotice { job: job.into() });
        compio::runtime::spawn(async move {
            let _ = client.send(owner, &notice, OWNER_TIMEOUT).await;
        })
        .detach();
    }

    /// Chooses a data centre for a job, or none while no suitable one is in service.
    ///
    /// A job with a guarantee goes to the guarantee's home, or to its standby while the home is not
    /// available. Other jobs go where the most accelerators are free, less those requested by jobs sent
    /// there since the last summary.
    ///
    /// # Errors
    /// `never_fits` when no data centre could hold the job even if it were empty.
    pub(crate) fn choose(
        &self,
        customer: &str,
        request: &JobRequest,
    ) -> Result<Option<DataCentreId>> {
        let configuration = self.view.configuration();
        let candidates = candidates(&configuration, customer, request);
        if candidates.is_empty() {
            let detail = format!(
                "no data centre can hold {} tasks of {:?}, even when it is empty",
                request.tasks, request.shape
            );
            return Err(Error::new(ErrorKind::NeverFits, detail));
        }
        let in_service: Vec<&DataCentreId> = candidates
            .into_iter()
            .filter(|id| !configuration.taken_out.contains_key(*id))
            .filter(|id| !self.excluded.borrow().contains(*id))
            .collect();
        let mut states = self.states.borrow_mut();
        let best = if request.guarantee.is_some() {
            in_service.first().copied()
        } else {
            in_service
                .into_iter()
                .max_by_key(|id| free_capacity(states.get(*id)))
        };
        let Some(best) = best.cloned() else {
            return Ok(None);
        };
        let accelerators = u64::from(request.tasks) * u64::from(request.shape.accelerators.max(1));
        states.entry(best.clone()).or_default().sent_accelerators += accelerators;
        Ok(Some(best))
    }
}

/// Returns the estimated free capacity of a data centre as a sort key; one without a summary sorts last.
fn free_capacity(state: Option<&DataCentreState>) -> (bool, i64) {
    let Some(DataCentreState {
        summary: Some(summary),
        sent_accelerators,
    }) = state
    else {
        return (false, 0);
    };
    let free = i64::from(summary.free_accelerators) - i64::from(summary.waiting_jobs);
    (true, free.saturating_sub_unsigned(*sent_accelerators))
}

/// Returns the data centres that could hold a job when empty, the preferred one first.
fn candidates<'a>(
    configuration: &'a Configuration,
    customer: &str,
    request: &'a JobRequest,
) -> Vec<&'a DataCentreId> {
    let guarantee = request
        .guarantee
        .as_ref()
        .and_then(|name| configuration.customers.get(customer)?.guarantees.get(name));
    if let Some(guarantee) = guarantee {
        return std::iter::once(&guarantee.data_centre)
            .chain(&guarantee.standby)
            .collect();
    }
    let fitting = configuration
        .data_centres
        .iter()
        .filter(|(_, data_centre)| {
            let per_rack = data_centre.racks.values().map(|rack| {
                let worker = rack.shape.to_shape();
                u64::from(rack.workers)
                    * u64::from(request.shape.to_shape().count_fitting_in(worker))
            });
            let capacity = match request.adjacency {
                nutmegwalk_config::Adjacency::Rack => per_rack.max().unwrap_or(0),
                nutmegwalk_config::Adjacency::DataCentre => per_rack.sum(),
            };
            capacity >= u64::from(request.tasks)
        });
    fitting.map(|(id, _)| id).collect()
}

/// Assigns data centres to jobs without one. One entry host at a time holds the dispatcher's lease.
pub(crate) struct Dispatcher {
    ownership: Rc<Ownership>,
    jobs: JobTable,
    data_centres: Rc<DataCentres>,
    failover: DataCentreFailover,
}

impl Dispatcher {
    pub(crate) fn new(
        ownership: Rc<Ownership>,
        jobs: JobTable,
        data_centres: Rc<DataCentres>,
        failover: DataCentreFailover,
    ) -> Self {
        Self {
            ownership,
            jobs,
            data_centres,
            failover,
        }
    }

    /// Dispatches whenever the lease is held, until `drain` starts.
    pub(crate) async fn run(&self, drain: Drain) {
        let mut last_balance = Instant::now();
        while !drain.is_started() {
            self.failover
                .run_step(self.ownership.current().is_some())
                .await;
            self.data_centres.set_excluded(self.failover.failing_over());
            if self.ownership.current().is_some()
                && let Err(error) = self.dispatch().await
            {
                warn!("cannot dispatch jobs: {error}");
            }
            if self.ownership.current().is_some() && last_balance.elapsed() >= BALANCE_INTERVAL {
                self.data_centres.balance().await;
                last_balance = Instant::now();
            }
            compio::time::sleep(DISPATCH_INTERVAL).await;
        }
        self.failover.run_step(false).await;
    }

    async fn dispatch(&self) -> Result<()> {
        let ids = self.jobs.list_home(UNASSIGNED).await?;
        if ids.is_empty() {
            return Ok(());
        }
        for stored in self.jobs.read_all(&ids).await? {
            match self.assign(&stored).await {
                Ok(()) => {}
                // The row was written in between, or this process lost the dispatcher's lease.
                Err(error) if matches!(error.kind, ErrorKind::Conflict | ErrorKind::StaleEpoch) => {
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    async fn assign(&self, stored: &StoredJob) -> Result<()> {
        let Some(held) = self.ownership.current() else {
            return Ok(());
        };
        debug_assert!(stored.record.run.is_none());
        let mut record: JobRecord = stored.record.clone();
        if record.state == JobState::Cancelling {
            record.state = JobState::Cancelled;
            record.ended_unix_ms = Some(unix_ms());
        } else {
            match self.data_centres.choose(&record.customer, &record.request) {
                Ok(Some(data_centre)) => record.home = data_centre,
                Ok(None) => return Ok(()),
                Err(error) => {
                    record.state = JobState::Failed;
                    record.ended_unix_ms = Some(unix_ms());
                    record.error = Some(error);
                }
            }
        }
        let written = self
            .jobs
            .replace(stored, record, &self.ownership.fence(&held))
            .await?;
        info!(job = &*written.record.id, data_centre = &*written.record.home; "job dispatched");
        self.data_centres
            .notify(&written.record.home, &written.record.id);
        Ok(())
    }
}
