//! Processes that run the lease protocol step by step against a table in memory.

use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_lease::LeaseState;
use nutmegwalk_lease::LeaseTiming;
use nutmegwalk_lease::OwnerRow;
use nutmegwalk_lease::Step;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;

/// What happens to a request at the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The request is answered.
    None,
    /// The request has no effect, and the process knows that.
    Down,
    /// A write takes effect and its answer is lost.
    LoseAnswer,
    /// A write has no effect for now and the process does not know that.
    LoseRequest,
}

/// A request between the moments at which it is sent, takes effect, and is answered.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    ReadSent,
    ReadDone(Result<Vec<Option<Row>>>),
    WriteSent(Transaction),
    WriteDone(Result<TransactionOutcome>),
}

/// Table, clock and writes that are still on their way.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) table: MemoryStore,
    pub(crate) late: Vec<Transaction>,
}

impl World {
    pub(crate) fn new() -> Self {
        Self {
            now: Instant::now(),
            table: MemoryStore::new(),
            late: Vec::new(),
        }
    }

    pub(crate) fn advance(&mut self, time_ms: u64) {
        self.now += Duration::from_millis(time_ms);
    }
}

/// One contender.
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

    /// Does the next part of the process's work: sends a request, lets it take effect, or answers it.
    /// Returns false when the process has nothing to do at this instant.
    pub(crate) fn proceed(&mut self, world: &mut World, fault: Fault) -> bool {
        let down = || Error::new(ErrorKind::StoreUnavailable, "down");
        let lost = || Error::new(ErrorKind::StoreUnknown, "lost");
        self.request = match self.request.take() {
            None => match self.state.step(world.now) {
                Step::Sleep(_) => return false,
                Step::Read => Some(Request::ReadSent),
                Step::Write(transaction) => Some(Request::WriteSent(transaction)),
                Step::Stop => {
                    self.is_stopped = true;
                    return false;
                }
            },
            Some(Request::ReadSent) => Some(Request::ReadDone(match fault {
                Fault::None | Fault::LoseRequest => Ok(world.table.read(&self.state.keys())),
                Fault::Down | Fault::LoseAnswer => Err(down()),
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
                Fault::LoseAnswer => {
                    world.table.apply(&transaction);
                    Err(lost())
                }
                Fault::LoseRequest => {
                    world.late.push(transaction);
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

    /// Works without faults until there is nothing to do at this instant.
    pub(crate) fn settle(&mut self, world: &mut World) {
        for _ in 0..30 {
            if !self.proceed(world, Fault::None) {
                return;
            }
        }
        panic!("the process does not come to rest");
    }
}

fn parse(rows: &[Option<Row>]) -> (Option<(OwnerRow, RowVersion)>, Option<RowVersion>) {
    let owner = rows[0]
        .as_ref()
        .map(|row| (serde_json::from_str(&row.value).unwrap(), row.version));
    (owner, rows[1].as_ref().map(|row| row.version))
}
