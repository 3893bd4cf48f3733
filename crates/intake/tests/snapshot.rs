//! Tests of snapshots of the jobs that are applied after later rows were read or written.

mod common;

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::CALL_LIMIT;
use common::JOB_ID;
use common::caller;
use common::intake;
use common::one_task;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_emulator::EmulatedStore;
use nutmegwalk_intake::Caller;
use nutmegwalk_intake::Intake;
use nutmegwalk_intake::JobView;
use nutmegwalk_store::Change;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::Changes;
use nutmegwalk_store::Page;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::Transaction;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobRow;
use nutmegwalk_workload::JobState;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body)
        })*
    };
}

/// Answer of a feed.
type Answer<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A feed that delivers what a test gives it: one page as a snapshot, and then changes.
#[derive(Default)]
struct ScriptedFeed {
    page: RefCell<Option<Page>>,
    changes: RefCell<Option<Changes>>,
    /// Number of requests for changes that were answered.
    delivered: Cell<usize>,
}

async fn take<T>(from: &RefCell<Option<T>>) -> T {
    loop {
        if let Some(taken) = from.take() {
            return taken;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

impl ChangeFeed for ScriptedFeed {
    fn page<'a>(&'a self, _prefix: &'a str, _after: &'a str, _limit: usize) -> Answer<'a, Page> {
        Box::pin(async { Ok(take(&self.page).await) })
    }

    fn changes<'a>(
        &'a self,
        _prefix: &'a str,
        _after: RowVersion,
        _wait: Duration,
    ) -> Answer<'a, Changes> {
        Box::pin(async {
            let changes = take(&self.changes).await;
            self.delivered.set(self.delivered.get() + 1);
            Ok(changes)
        })
    }
}

/// An entry host whose feed is scripted.
struct Host {
    store: EmulatedStore,
    feed: Rc<ScriptedFeed>,
    view: JobView,
    intake: Intake,
    caller: Caller,
}

impl Host {
    fn new() -> Self {
        let store = EmulatedStore::new();
        let feed = Rc::new(ScriptedFeed::default());
        let view = JobView::new(feed.clone());
        let follower = view.clone();
        compio::runtime::spawn(async move { follower.run().await }).detach();
        let intake = intake(&store, &view, CALL_LIMIT);
        Self {
            store,
            feed,
            view,
            intake,
            caller: caller(),
        }
    }

    async fn submit(&self) {
        let submitted = self
            .intake
            .submit(&self.caller, JOB_ID, one_task(), CALL_LIMIT);
        submitted.await.expect("the store accepts the job");
    }

    async fn cancel(&self) -> Result<()> {
        self.intake.cancel(&self.caller, JOB_ID, CALL_LIMIT).await
    }

    async fn state(&self) -> Result<JobState> {
        self.intake.state(&self.caller, JOB_ID, CALL_LIMIT).await
    }

    /// Stores that the job has completed.
    fn complete(&self) {
        let mut progress = JobProgress::new();
        progress.end(JobState::Completed);
        let text = progress
            .summary_row(&one_task())
            .expect("progress can be encoded");
        let row = Transaction::new().with_put(JobRow::Progress.key(JOB_ID), text);
        self.store.memory.apply(&row);
    }

    /// Deletes the rows of the job, and returns the change of its accepted row.
    fn delete(&self) -> Change {
        let mut deletion = Transaction::new();
        for row in [JobRow::Accepted, JobRow::Cancelled, JobRow::Progress] {
            deletion = deletion.with_delete(row.key(JOB_ID));
        }
        self.store.memory.apply(&deletion);
        Change::Delete {
            key: JobRow::Accepted.key(JOB_ID),
            version: self.store.memory.version(),
        }
    }

    /// Reads the rows of the job for a snapshot.
    fn read_page(&self) -> Page {
        let keys =
            [JobRow::Accepted, JobRow::Cancelled, JobRow::Progress].map(|row| row.key(JOB_ID));
        let rows: Vec<Row> = self
            .store
            .memory
            .read(&keys)
            .into_iter()
            .flatten()
            .collect();
        Page {
            rows,
            version: self.store.memory.version(),
            has_more: false,
        }
    }

    /// Applies a snapshot to the view, the first one.
    async fn deliver_page(&self, page: Page) {
        self.feed.page.replace(Some(page));
        wait_until(|| self.view.age().is_some()).await;
    }

    /// Applies a change to the view, after a snapshot.
    async fn deliver_change(&self, change: Change) {
        let delivered = self.feed.delivered.get();
        self.feed.changes.replace(Some(Changes {
            changes: vec![change],
            version: self.store.memory.version(),
        }));
        wait_until(|| self.feed.delivered.get() > delivered).await;
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < CALL_LIMIT, "the feed is not read");
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

cases! {
    // Guards against a confirmed cancellation that callers no longer see after an earlier snapshot.
    earlier_snapshot_does_not_hide_a_cancellation => {
        let host = Host::new();
        host.submit().await;
        let page = host.read_page();
        host.cancel().await.expect("the job is pending");
        host.deliver_page(page).await;
        assert_eq!(host.state().await, Ok(JobState::Cancelled));
    }

    // Guards against an end that callers no longer see after an earlier snapshot.
    earlier_snapshot_does_not_hide_an_end => {
        let host = Host::new();
        host.submit().await;
        let page = host.read_page();
        host.complete();
        assert_eq!(host.cancel().await.expect_err("the job has ended").kind, ErrorKind::NotFound);
        host.deliver_page(page).await;
        assert_eq!(host.state().await, Ok(JobState::Completed));
    }

    // Guards against a new job that callers see as cancelled, because a deleted one under its id was.
    snapshot_replaces_a_cancelled_job_by_a_new_one_under_its_id => {
        let host = Host::new();
        host.submit().await;
        let accepted = host.read_page().rows.remove(0);
        host.cancel().await.expect("the job is pending");
        host.delete();
        let again = Transaction::new().with_put(accepted.key, accepted.value);
        host.store.memory.apply(&again);
        host.deliver_page(host.read_page()).await;
        assert_eq!(host.state().await, Ok(JobState::Pending));
    }

    // Guards against a confirmed cancellation that callers no longer see after the deletion of an earlier job.
    late_deletion_of_an_earlier_job_does_not_hide_a_cancellation => {
        let host = Host::new();
        host.submit().await;
        let deletion = host.delete();
        host.deliver_page(host.read_page()).await;
        host.submit().await;
        host.cancel().await.expect("the job is pending");
        host.deliver_change(deletion).await;
        let again = host.read_page().rows.remove(0);
        host.deliver_change(Change::Put(again)).await;
        assert_eq!(host.state().await, Ok(JobState::Cancelled));
    }
}
