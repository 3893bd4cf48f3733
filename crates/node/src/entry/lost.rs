//! Data centres that are lost or silent for very long: their jobs go elsewhere.

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

/// Takes over the ownership of data centres that operators gave up, or that have been silent for too long.
pub(crate) struct LostDataCentres {
    store: StoreClient,
    holder: Box<str>,
    address: Box<str>,
    jobs: JobTable,
    view: View,
    membership: Membership,
    silent_after: Duration,
    last_alive: RefCell<BTreeMap<DataCentreId, Instant>>,
    takeovers: RefCell<BTreeMap<DataCentreId, Rc<Takeover>>>,
}

struct Takeover {
    ownership: Ownership,
    /// Epoch in which the ownership was won, and when that was noticed.
    won: RefCell<Option<(Epoch, Instant)>>,
}

impl LostDataCentres {
    pub(crate) fn new(
        store: StoreClient,
        holder: Box<str>,
        address: Box<str>,
        jobs: JobTable,
        view: View,
        membership: Membership,
        silent_after: Duration,
    ) -> Self {
        Self {
            store,
            holder,
            address,
            jobs,
            view,
            membership,
            silent_after,
            last_alive: RefCell::default(),
            takeovers: RefCell::default(),
        }
    }

    /// Does what is due; `is_dispatcher` says whether this process may act.
    pub(crate) async fn step(&self, is_dispatcher: bool) {
        self.note_alive();
        let wanted = if is_dispatcher {
            self.wanted()
        } else {
            BTreeSet::new()
        };
        self.follow(&wanted);
        let takeovers = self.takeovers.borrow().clone();
        for (data_centre, takeover) in takeovers {
            if let Some(held) = takeover.ready()
                && let Err(error) = self.move_jobs(&data_centre, &takeover, held).await
            {
                warn!(data_centre = &*data_centre; "cannot move all jobs: {error}");
            }
        }
    }

    /// Returns the data centres whose jobs this process sends elsewhere.
    pub(crate) fn given_up(&self) -> BTreeSet<DataCentreId> {
        self.takeovers.borrow().keys().cloned().collect()
    }

    fn note_alive(&self) {
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

    fn wanted(&self) -> BTreeSet<DataCentreId> {
        let configuration = self.view.configuration();
        let given_up = configuration.taken_out.iter();
        let given_up = given_up
            .filter(|(_, out)| out.lost)
            .map(|(id, _)| id.clone());
        let last_alive = self.last_alive.borrow();
        let silent = last_alive
            .iter()
            .filter(|(_, last)| last.elapsed() >= self.silent_after);
        given_up.chain(silent.map(|(id, _)| id.clone())).collect()
    }

    /// Contends for the ownership of the wanted data centres, and gives up that of the others.
    fn follow(&self, wanted: &BTreeSet<DataCentreId>) {
        let mut takeovers = self.takeovers.borrow_mut();
        for data_centre in wanted {
            takeovers.entry(data_centre.clone()).or_insert_with(|| {
                warn!(data_centre = &**data_centre; "taking over the ownership of a lost data centre");
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
                    won: RefCell::default(),
                })
            });
        }
        takeovers.retain(|data_centre, takeover| {
            if wanted.contains(data_centre) {
                return true;
            }
            info!(data_centre = &**data_centre; "giving the ownership of a data centre back");
            let ownership = takeover.ownership.clone();
            compio::runtime::spawn(async move {
                if let Err(error) = ownership.release().await {
                    warn!("{error}");
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
            if takeover.ownership.current().map(|now| now.epoch) != Some(held.epoch) {
                return Ok(());
            }
            match self.move_job(data_centre, takeover, &held, &stored).await {
                Ok(()) => {}
                // A cancel came in between; the next round sees it.
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
        info!(job = &*written.record.id, data_centre = &**data_centre; "job leaves a lost data centre");
        Ok(())
    }
}

impl Takeover {
    /// Returns the lease once it has been held for the time after which nothing that the last owner
    /// started can run in a data centre that is gone.
    fn ready(&self) -> Option<HeldLease> {
        let held = self.ownership.current()?;
        let mut won = self.won.borrow_mut();
        let since = match *won {
            Some((epoch, since)) if epoch == held.epoch => since,
            _ => {
                let now = Instant::now();
                *won = Some((held.epoch, now));
                now
            }
        };
        (since.elapsed() >= GangTimings::default().quiet()).then_some(held)
    }
}
