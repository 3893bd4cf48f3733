//! Choice of a data centre for jobs, at acceptance and after their own left service.

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
use crate::entry::lost::LostDataCentres;
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

/// Time between two requests for the owners' summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for one message to an owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks of the dispatcher for jobs without a data centre.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two rounds of balancing; the effect of one round shows in the summaries of the next.
const BALANCE_INTERVAL: Duration = Duration::from_secs(3);

/// What an entry host knows about data centres, for choosing one.
pub(crate) struct DataCentres {
    view: View,
    client: Client,
    known: RefCell<BTreeMap<DataCentreId, Known>>,
    /// Data centres that get no jobs although they are in service.
    given_up: RefCell<BTreeSet<DataCentreId>>,
}

#[derive(Clone, Default)]
struct Known {
    summary: Option<OwnerSummary>,
    /// Accelerators asked for by jobs sent there since the summary was made.
    sent_accelerators: u64,
}

impl DataCentres {
    pub(crate) fn new(view: View, client: Client) -> Self {
        Self {
            view,
            client,
            known: RefCell::default(),
            given_up: RefCell::default(),
        }
    }

    pub(crate) fn set_given_up(&self, data_centres: BTreeSet<DataCentreId>) {
        *self.given_up.borrow_mut() = data_centres;
    }

    /// Returns the lease row of a data centre's owner.
    pub(crate) fn owner_row(&self, data_centre: &str) -> Option<OwnerRow> {
        let owners = self.view.owners();
        let row: OwnerRow = serde_json::from_str(&owners.get(data_centre)?.value).ok()?;
        (!row.is_released()).then_some(row)
    }

    /// Returns the address of a data centre's owner.
    pub(crate) fn owner_address(&self, data_centre: &str) -> Option<SocketAddr> {
        self.owner_row(data_centre)?.address.parse().ok()
    }

    /// Returns the newest summary of a data centre's owner.
    pub(crate) fn summary(&self, data_centre: &str) -> Option<OwnerSummary> {
        self.known.borrow().get(data_centre)?.summary.clone()
    }

    /// Keeps the summaries fresh until `drain` starts.
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
        let mut known = self.known.borrow_mut();
        known.clear();
        for (data_centre, summary) in configuration.data_centres.keys().zip(summaries) {
            known.insert(
                data_centre.clone(),
                Known {
                    summary,
                    sent_accelerators: 0,
                },
            );
        }
    }

    /// Asks owners whose jobs wait to release those that fit into the room of a data centre without a queue.
    pub(crate) async fn balance(&self) {
        for (source, target) in self.moves() {
            let Some(owner) = self.owner_address(&source) else {
                continue;
            };
            match self.client.send(owner, &target, OWNER_TIMEOUT).await {
                Ok(released) if !released.jobs.is_empty() => {
                    info!(from = &*source, to = &*target.data_centre; "{} jobs are released", released.jobs.len());
                }
                Ok(_) => {}
                Err(error) => warn!(data_centre = &*source; "cannot ask for a release: {error}"),
            }
        }
    }

    /// Pairs each data centre that has jobs to release with one that has room for them.
    fn moves(&self) -> Vec<(DataCentreId, ReleaseRequest)> {
        let configuration = self.view.configuration();
        let known = self.known.borrow();
        let summaries = known.iter().filter_map(|(id, known)| {
            let is_out = configuration.taken_out.contains_key(id);
            Some((id, known, known.summary.as_ref().filter(|_| !is_out)?))
        });
        let (mut sources, mut targets) = (Vec::new(), Vec::new());
        for (id, known, summary) in summaries {
            if summary.releasable_jobs > 0 {
                sources.push((summary.releasable_jobs, id));
            } else if summary.queued_jobs == 0 && known.sent_accelerators == 0 {
                targets.push((summary.free_accelerators, id, &summary.free_workers));
            }
        }
        // The longest queue gets the most room. Each room is offered to one owner only.
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

    /// Tells the owner that the row of a job has changed; the owner's regular reads repair a lost notice.
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
    /// A guaranteed job goes to its guarantee's home or standby. Others go where the most accelerators
    /// are free after what was sent there already.
    ///
    /// # Errors
    /// `never_fits` when no data centre could hold the job even on empty hardware.
    pub(crate) fn choose(
        &self,
        customer: &str,
        request: &JobRequest,
    ) -> Result<Option<DataCentreId>> {
        let configuration = self.view.configuration();
        let candidates = candidates(&configuration, customer, request);
        if candidates.is_empty() {
            let detail = format!(
                "no data centre has room for {} tasks of {:?}, even when it is empty",
                request.tasks, request.shape
            );
            return Err(Error::new(ErrorKind::NeverFits, detail));
        }
        let in_service: Vec<&DataCentreId> = candidates
            .into_iter()
            .filter(|id| !configuration.taken_out.contains_key(*id))
            .filter(|id| !self.given_up.borrow().contains(*id))
            .collect();
        let mut known = self.known.borrow_mut();
        let best = if request.guarantee.is_some() {
            in_service.first().copied()
        } else {
            in_service.into_iter().max_by_key(|id| room(known.get(*id)))
        };
        let Some(best) = best.cloned() else {
            return Ok(None);
        };
        let accelerators = u64::from(request.tasks) * u64::from(request.shape.accelerators.max(1));
        known.entry(best.clone()).or_default().sent_accelerators += accelerators;
        Ok(Some(best))
    }
}

/// Returns the room that is left in a data centre; without an owner's summary it is the last choice.
fn room(known: Option<&Known>) -> (bool, i64) {
    let Some(Known {
        summary: Some(summary),
        sent_accelerators,
    }) = known
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
                let room = rack.shape.to_shape();
                u64::from(rack.workers) * u64::from(request.shape.to_shape().count_fitting_in(room))
            });
            let room = match request.adjacency {
                nutmegwalk_config::Adjacency::Rack => per_rack.max().unwrap_or(0),
                nutmegwalk_config::Adjacency::DataCentre => per_rack.sum(),
            };
            room >= u64::from(request.tasks)
        });
    fitting.map(|(id, _)| id).collect()
}

/// Gives data centres to jobs whose own left service. One entry host at a time has this duty.
pub(crate) struct Dispatcher {
    ownership: Rc<Ownership>,
    jobs: JobTable,
    data_centres: Rc<DataCentres>,
    lost: LostDataCentres,
}

impl Dispatcher {
    pub(crate) fn new(
        ownership: Rc<Ownership>,
        jobs: JobTable,
        data_centres: Rc<DataCentres>,
        lost: LostDataCentres,
    ) -> Self {
        Self {
            ownership,
            jobs,
            data_centres,
            lost,
        }
    }

    /// Dispatches whenever the lease is held, until `drain` starts.
    pub(crate) async fn run(&self, drain: Drain) {
        let mut last_balance = Instant::now();
        while !drain.is_started() {
            self.lost.step(self.ownership.current().is_some()).await;
            self.data_centres.set_given_up(self.lost.given_up());
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
        self.lost.step(false).await;
    }

    async fn dispatch(&self) -> Result<()> {
        let ids = self.jobs.list_home(UNASSIGNED).await?;
        if ids.is_empty() {
            return Ok(());
        }
        for stored in self.jobs.read_all(&ids).await? {
            match self.assign(&stored).await {
                Ok(()) => {}
                // The caller cancelled the job in between, or this process lost the duty.
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
