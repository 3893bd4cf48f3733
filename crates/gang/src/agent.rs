//! Agent side of the gang protocol.

mod command;
mod lead;
mod member;
mod recover;
mod state;

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use state::Phase;
use state::State;

use crate::GangReport;
use crate::GangTimings;
use crate::ReportAcknowledgement;
use crate::StartPermission;
use crate::WorkerApi;
use crate::digest;
use crate::messages::Abort;
use crate::messages::Bind;
use crate::messages::Checkpoint;
use crate::messages::EndMembers;
use crate::messages::Renew;
use crate::messages::Reserve;
use crate::messages::Start;
use crate::messages::StartMembers;
use crate::messages::Stop;
use crate::messages::Throttle;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Message;
use nutmegwalk_net::Request;
use nutmegwalk_net::Response;

pub use state::Resources;

/// Agent that runs the gang members on one worker; clones share their state.
#[derive(Clone)]
pub struct GangAgent {
    shared: Rc<Shared>,
}

struct Shared {
    worker: Rc<dyn WorkerApi>,
    client: Client,
    secret: Secret,
    address: SocketAddr,
    permission: Rc<dyn StartPermission>,
    timings: Cell<GangTimings>,
    capacity: Cell<Option<Resources>>,
    state: RefCell<State>,
    shutdown: Drain,
}

impl fmt::Debug for GangAgent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("GangAgent")
            .field("worker", self.shared.worker.worker())
            .field("address", &self.shared.address)
            .finish_non_exhaustive()
    }
}

impl GangAgent {
    /// Creates the agent of `worker`; `address` is where peers reach it.
    ///
    /// It refuses all starts before [`GangAgent::recover`] and [`GangAgent::set_epoch_floor`].
    #[must_use]
    pub fn new(
        worker: Rc<dyn WorkerApi>,
        client: Client,
        secret: Secret,
        address: SocketAddr,
        permission: Rc<dyn StartPermission>,
    ) -> Self {
        Self {
            shared: Rc::new(Shared {
                worker,
                client,
                secret,
                address,
                permission,
                timings: Cell::default(),
                capacity: Cell::default(),
                state: RefCell::default(),
                shutdown: Drain::new(),
            }),
        }
    }

    /// Sets the intervals of the protocol.
    #[must_use]
    pub fn with_timings(self, timings: GangTimings) -> Self {
        self.shared.timings.set(timings);
        self
    }

    /// Sets the worker's resources; without them, reservations are not checked against capacity.
    #[must_use]
    pub fn with_capacity(self, capacity: Resources) -> Self {
        self.shared.capacity.set(Some(capacity));
        self
    }

    /// Raises the lowest epoch that is accepted; starts are refused until this is called.
    ///
    /// After a restart, the epoch must come from a table read that was made after the restart.
    pub fn set_epoch_floor(&self, epoch: Epoch) {
        let mut state = self.shared.state.borrow_mut();
        state.epoch_floor = state.epoch_floor.max(Some(epoch));
    }

    /// Ends the agent's own activity but not its tasks, which run on until their leases lapse. An agent
    /// that restarts within the lease rejoins them.
    pub fn shut_down(&self) {
        self.shared.shutdown.start();
    }

    /// Handles a request for a path of the gang protocol; returns `None` for other paths.
    pub async fn handle(&self, request: &Request) -> Option<Response> {
        let response = match &*request.path {
            Reserve::PATH => {
                Response::message(&self.message(request).and_then(|m| self.reserve(m)))
            }
            Bind::PATH => Response::message(&self.message(request).and_then(|m| self.bind(m))),
            Start::PATH => match self.message(request) {
                Ok(message) => Response::message(&self.start(message).await),
                Err(error) => Response::message::<()>(&Err(error)),
            },
            StartMembers::PATH => match self.message(request) {
                Ok(message) => Response::message(&self.start_members(message).await),
                Err(error) => Response::message::<()>(&Err(error)),
            },
            Renew::PATH => match self.message(request) {
                Ok(message) => Response::message(&self.renew(message).await),
                Err(error) => Response::message::<()>(&Err(error)),
            },
            EndMembers::PATH => match self.message(request) {
                Ok(message) => Response::message(&self.end_members(message).await),
                Err(error) => Response::message::<()>(&Err(error)),
            },
            Stop::PATH => match self.message(request) {
                Ok(message) => Response::message(&self.stop(message).await),
                Err(error) => Response::message::<()>(&Err(error)),
            },
            Abort::PATH => match self.message(request) {
                Ok(message) => Response::message(&self.abort(message).await),
                Err(error) => Response::message::<()>(&Err(error)),
            },
            Checkpoint::PATH => match self.message(request) {
                Ok(message) => Response::message(&self.checkpoint(message).await),
                Err(error) => Response::message::<()>(&Err(error)),
            },
            Throttle::PATH => match self.message(request) {
                Ok(message) => Response::message(&self.throttle(message).await),
                Err(error) => Response::message::<()>(&Err(error)),
            },
            _ => return None,
        };
        Some(response)
    }

    /// Returns the report on all attempts, with the last known states of their tasks.
    #[must_use]
    pub fn report(&self) -> GangReport {
        let state = self.shared.state.borrow();
        let attempts = state.reports(self.shared.address);
        GangReport {
            worker: self.shared.worker.worker().clone(),
            agent: self.shared.address,
            epoch_floor: state.epoch_floor,
            sequence: state.sequence,
            recovered: state.recovered,
            digest: digest(&attempts),
            attempts,
        }
    }

    /// Sends the report to the owner and drops the final reports that the owner acknowledges.
    ///
    /// # Errors
    /// Those of [`Client::send`].
    pub async fn send_report(&self, owner: SocketAddr, timeout: Duration) -> Result<()> {
        let report = self.report();
        let ReportAcknowledgement { sequence } =
            self.shared.client.send(owner, &report, timeout).await?;
        self.acknowledge(sequence.min(report.sequence));
        Ok(())
    }

    /// Drops the attempts that ended up to `sequence`, because the owner has recorded their final reports.
    pub fn acknowledge(&self, sequence: u64) {
        let mut acknowledged = Vec::new();
        self.shared.state.borrow_mut().gangs.retain(|key, gang| {
            let is_acknowledged =
                matches!(gang.phase, Phase::Ended { sequence: ended, .. } if ended <= sequence);
            if is_acknowledged {
                let members: Vec<u32> = gang.members.iter().map(|spec| spec.member).collect();
                acknowledged.push((key.clone(), members));
            }
            !is_acknowledged
        });
        if !acknowledged.is_empty() {
            self.remove_tasks(acknowledged);
        }
    }

    fn timings(&self) -> GangTimings {
        self.shared.timings.get()
    }

    fn message<M: Message>(&self, request: &Request) -> Result<M> {
        let message = request.message(&self.shared.secret)?;
        if self.shared.shutdown.is_started() {
            return Err(Error::new(
                ErrorKind::Draining,
                "the agent is shutting down",
            ));
        }
        if !self.shared.state.borrow().recovered {
            return Err(Error::new(
                ErrorKind::StaleView,
                "the agent has not read its worker's task list yet",
            ));
        }
        Ok(message)
    }

    /// Checks whether a command of the owner with `epoch` may prepare or start tasks now.
    fn check_start(&self, epoch: Epoch) -> Result<()> {
        let mut state = self.shared.state.borrow_mut();
        if state.epoch_floor.is_none() {
            return Err(Error::new(
                ErrorKind::StaleView,
                "the agent has not received the current epoch yet",
            ));
        }
        state.check_epoch(epoch)?;
        drop(state);
        self.shared.permission.check(epoch)
    }
}
