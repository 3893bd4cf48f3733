//! Processes that run the lease protocol step by step against an in-memory table.

use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_lease::Action;
use nutmegwalk_lease::LeaseState;
use nutmegwalk_lease::LeaseTiming;
use nutmegwalk_lease::OwnerRow;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// Fault injected into one request to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The request succeeds.
    None,
    /// The request has no effect, and the process receives an error that states this.
    Down,
    /// A write takes effect, but its response is lost.
    LoseResponse,
    /// A write has no effect yet, and the process receives an error that leaves the outcome open.
    LoseRequest,
}

/// A request in flight, before or after it has been processed by the table.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    ReadSent,
    ReadDone(Result<Vec<Option<Row>>>),
    WriteSent(Transaction),
    WriteDone(Result<TransactionOutcome>),
}

/// Shared state of a simulation: the clock, the table and the writes that have not taken effect yet.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) table: MemoryStore,
    pub(crate) delayed_writes: Vec<Transaction>,
}

impl World {
    pub(crate) fn new() -> Self {
        Self {
            now: Instant::now(),
            table: MemoryStore::new(),
            delayed_writes: Vec::new(),
        }
    }

    pub(crate) fn advance(&mut self, duration_ms: u64) {
        self.now += Duration::from_millis(duration_ms);
    }
}

/// One contender for the lease.
pub(crate) struct Process {
    pub(crate) state: LeaseState,
    pub(crate) request: Option<Request>,
    pub(crate) is_stopped: bool,
}

impl Process {
    pub(crate) fn new(incarnation: u64) -> Self {
        let name = format!("agent-{incarnation}");
        let state = LeaseState::new(
            "rezekne",
            name,
            "127.0.0.1:1",
            incarnation,
            LeaseTiming::default(),
        );
        Self {
            state,
            request: None,
            is_stopped: false,
        }
    }

    pub(crate) fn epoch(&self, world: &World) -> Option<u64> {
        self.state.current(world.now).map(|held| held.epoch)
    }

    /// Runs the next step of the process: sends a request, processes it at the table, or delivers its response.
    /// Returns false when the process has nothing to do at this instant.
    pub(crate) fn step(&mut self, world: &mut World, fault: Fault) -> bool {
        let down = || Error::new(ErrorKind::StoreUnavailable, "down");
        let lost = || Error::new(ErrorKind::StoreUnknown, "lost");
        self.request = match self.request.take() {
            None => match self.state.next_action(world.now) {
                Action::Sleep(_) => return false,
                Action::Read => Some(Request::ReadSent),
                Action::Write(transaction) => Some(Request::WriteSent(transaction)),
                Action::Stop => {
                    self.is_stopped = true;
                    return false;
                }
            },
            Some(Request::ReadSent) => Some(Request::ReadDone(match fault {
                Fault::None | Fault::LoseRequest => Ok(world.table.read(&self.state.keys())),
                Fault::Down | Fault::LoseResponse => Err(down()),
            })),
            Some(Request::ReadDone(result)) => {
                if let Ok(rows) = result {
                    let (row, epoch_row_version) = parse(&rows);
                    self.state.observe(row, epoch_row_version, world.now);
                }
                None
            }
            Some(Request::WriteSent(transaction)) => Some(Request::WriteDone(match fault {
                Fault::None => Ok(world.table.apply(&transaction)),
                Fault::Down => Err(down()),
                Fault::LoseResponse => {
                    world.table.apply(&transaction);
                    Err(lost())
                }
                Fault::LoseRequest => {
                    world.delayed_writes.push(transaction);
                    Err(lost())
                }
            })),
            Some(Request::WriteDone(outcome)) => {
                self.state.finish_write(outcome, world.now);
                None
            }
        };
        true
    }

    /// Runs steps without faults until the process has nothing to do at this instant.
    pub(crate) fn run_until_idle(&mut self, world: &mut World) {
        for _ in 0..30 {
            if !self.step(world, Fault::None) {
                return;
            }
        }
        panic!("the process does not become idle");
    }
}

fn parse(rows: &[Option<Row>]) -> (Option<(OwnerRow, RowVersion)>, Option<RowVersion>) {
    let owner = rows[0]
        .as_ref()
        .map(|row| (serde_json::from_str(&row.value).unwrap(), row.version));
    (owner, rows[1].as_ref().map(|row| row.version))
}
