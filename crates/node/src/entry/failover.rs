//! Failover of data centres that were declared lost or have been unreachable for long: their jobs are moved to
//! other data centres.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::job_table::JobTable;
use crate::job_table::StoredJob;
use crate::jobs::JobState;
use crate::jobs::UNASSIGNED;
use crate::jobs::unix_ms;
use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_gang::GangTimings;
use nutmegwalk_lease::HeldLease;
use nutmegwalk_lease::Ownership;
use nutmegwalk_store::StoreClient;
use nutmegwalk_sync::Membership;
use nutmegwalk_sync::View;

/// Takes over the ownership of data centres that operators declared lost, or that have sent no reports for too
/// long.
pub(crate) struct DataCentreFailover {
    store: StoreClient,
    holder: Box<str>,
    address: Box<str>,
    jobs: JobTable,
    view: View,
    membership: Membership,
    unreachable_after: Duration,
    last_alive: RefCell<BTreeMap<DataCentreId, Instant>>,
    takeovers: RefCell<BTreeMap<DataCentreId, Rc<Takeover>>>,
}

struct Takeover {
    ownership: Ownership,
    /// Epoch in which the ownership was acquired, and when that was observed.
    acquired: RefCell<Option<(Epoch, Instant)>>,
}

impl DataCentreFailover {
    pub(crate) fn new(
        store: StoreClient,
        holder: Box<str>,
        address: Box<str>,
        jobs: JobTable,
        view: View,
        membership: Membership,
        unreachable_after: Duration,
    ) -> Self {
        Self {
            store,
            holder,
            address,
            jobs,
            view,
            membership,
            unreachable_after,
            last_alive: RefCell::default(),
            takeovers: RefCell::default(),
        }
    }

    /// Starts and ends takeovers, and moves the jobs of data centres that have been taken over.
    ///
    /// Without `is_dispatcher` all takeovers end.
    pub(crate) async fn run_step(&self, is_dispatcher: bool) {
        self.record_alive();
        let unavailable = if is_dispatcher {
            self.unavailable()
        } else {
            BTreeSet::new()
        };
        self.update_takeovers(&unavailable);
        let takeovers = self.takeovers.borrow().clone();
        for (data_centre, takeover) in takeovers {
            if let Some(held) = takeover.ready()
                && let Err(error) = self.move_jobs(&data_centre, &takeover, held).await
            {
                warn!(data_centre = &*data_centre; "cannot move all jobs: {error}");
            }
        }
    }

    /// Returns the data centres whose jobs this process moves elsewhere.
    pub(crate) fn failing_over(&self) -> BTreeSet<DataCentreId> {
        self.takeovers.borrow().keys().cloned().collect()
    }

    fn record_alive(&self) {
        let now = Instant::now();
        let mut last_alive = self.last_alive.borrow_mut();
        for data_centre in self.view.configuration().data_centres.keys() {
            last_alive.entry(data_centre.clone()).or_insert(now);
        }
        for member in self.membership.alive() {
            if let Some(data_centre) = member.report.data_centre.clone() {
                last_alive.insert(data_centre, now);
            }
        }
    }

    /// Returns the data centres that were declared lost or have sent no reports for too long.
    fn unavailable(&self) -> BTreeSet<DataCentreId> {
        let configuration = self.view.configuration();
        let lost = configuration.taken_out.iter();
        let lost = lost.filter(|(_, out)| out.lost).map(|(id, _)| id.clone());
        let last_alive = self.last_alive.borrow();
        let unreachable = last_alive
            .iter()
            .filter(|(_, last)| last.elapsed() >= self.unreachable_after);
        lost.chain(unreachable.map(|(id, _)| id.clone())).collect()
    }

    /// Contends for the ownership of the data centres in `unavailable`, and releases that of all others.
    fn update_takeovers(&self, unavailable: &BTreeSet<DataCentreId>) {
        let mut takeovers = self.takeovers.borrow_mut();
        for data_centre in unavailable {
            takeovers.entry(data_centre.clone()).or_insert_with(|| {
                warn!(data_centre = &**data_centre; "contending for the ownership of an unavailable data centre");
                let ownership = Ownership::new(
                    self.store.clone(),
                    data_centre.clone(),
                    self.holder.clone(),
                    self.address.clone(),
                );
                let running = ownership.clone();
                compio::runtime::spawn(async move { running.run().await }).detach();
                Rc::new(Takeover {
                    ownership,
                    acquired: RefCell::default(),
                })
            });
        }
        takeovers.retain(|data_centre, takeover| {
            if unavailable.contains(data_centre) {
                return true;
            }
            info!(data_centre = &**data_centre; "releasing the ownership of a data centre");
            let ownership = takeover.ownership.clone();
            compio::runtime::spawn(async move {
                if let Err(error) = ownership.release().await {
                    warn!("cannot release the ownership lease: {error}");
                }
            })
            .detach();
            false
        });
    }

    async fn move_jobs(
        &self,
        data_centre: &DataCentreId,
        takeover: &Takeover,
        held: HeldLease,
    ) -> Result<()> {
        let ids = self.jobs.list_home(data_centre).await?;
        if ids.is_empty() {
            return Ok(());
        }
        for stored in self.jobs.read_all(&ids).await? {
            if takeover.ownership.current().map(|lease| lease.epoch) != Some(held.epoch) {
                return Ok(());
            }
            match self.move_job(data_centre, takeover, &held, &stored).await {
                Ok(()) => {}
                // The row was written in between, for example by a cancellation; the next round retries.
                Err(error) if error.kind == ErrorKind::Conflict => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    async fn move_job(
        &self,
        data_centre: &DataCentreId,
        takeover: &Takeover,
        held: &HeldLease,
        stored: &StoredJob,
    ) -> Result<()> {
        let mut record = stored.record.clone();
        if record.state.is_final() || record.home != *data_centre {
            return Ok(());
        }
        record.run = None;
        if record.state == JobState::Cancelling {
            record.state = JobState::Cancelled;
            record.ended_unix_ms = Some(unix_ms());
        } else {
            record.home = UNASSIGNED.into();
        }
        let fence = takeover.ownership.fence(held);
        let written = self.jobs.replace(stored, record, &fence).await?;
        info!(job = &*written.record.id, data_centre = &**data_centre; "job moved out of an unavailable data centre");
        Ok(())
    }
}

impl Takeover {
    /// Returns the lease once it has been held for the quiet period, after which no task started by the
    /// previous owner can still be running in an unavailable data centre.
    fn ready(&self) -> Option<HeldLease> {
        let held = self.ownership.current()?;
        let mut acquired = self.acquired.borrow_mut();
        let since = match *acquired {
            Some((epoch, since)) if epoch == held.epoch => since,
            _ => {
                let now = Instant::now();
                *acquired = Some((held.epoch, now));
                now
            }
        };
        (since.elapsed() >= GangTimings::default().quiet_period()).then_some(held)
    }
}
