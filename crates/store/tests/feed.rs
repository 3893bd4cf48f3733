//! Tests of the follower of a collection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use nutmegwalk_base::Result;
use nutmegwalk_store::Change;
use nutmegwalk_store::ChangeFeed;
use nutmegwalk_store::Changes;
use nutmegwalk_store::Follower;
use nutmegwalk_store::FollowerTimings;
use nutmegwalk_store::Page;
use nutmegwalk_store::Replica;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body);
        })*
    };
}

/// Feed in which a row has changed whenever it is asked.
#[derive(Default)]
struct BusyFeed {
    requests: Cell<u64>,
}

impl ChangeFeed for BusyFeed {
    fn page<'a>(
        &'a self,
        _prefix: &'a str,
        _after: &'a str,
        _limit: usize,
    ) -> LocalBoxFuture<'a, Result<Page>> {
        async { Ok(Page::default()) }.boxed_local()
    }

    fn changes<'a>(
        &'a self,
        _prefix: &'a str,
        after: RowVersion,
        _wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes>> {
        self.requests.set(self.requests.get() + 1);
        let changes = Changes {
            changes: vec![Change::Put(Row {
                key: "job/a".into(),
                value: "x".into(),
                version: after + 1,
            })],
            version: after + 1,
        };
        async move {
            compio::time::sleep(Duration::from_millis(1)).await;
            Ok(changes)
        }
        .boxed_local()
    }
}

/// Counts the changes.
#[derive(Default)]
struct Counter {
    changes: Cell<u64>,
}

impl Replica for Counter {
    fn reset(&self, _rows: Vec<Row>) {}

    fn apply(&self, _change: Change) {
        self.changes.set(self.changes.get() + 1);
    }
}

cases! {
    // Guards against one request for each change: with many changes a second and a follower on each entry host, the
    // requests would use up the rate that the store accepts.
    changes_within_the_interval_are_read_together => {
        let feed = Rc::new(BusyFeed::default());
        let timings = FollowerTimings {
            min_interval: Duration::from_millis(100),
            ..FollowerTimings::default()
        };
        let follower = Follower::with_timings(Rc::<BusyFeed>::clone(&feed), "job/", timings);
        let counter = Counter::default();
        let _ = compio::time::timeout(Duration::from_millis(1_050), follower.run(&counter)).await;
        assert!(counter.changes.get() > 0);
        assert!(feed.requests.get() <= 11, "{} requests", feed.requests.get());
    }
}
