//! Tests of publishes, take-outs and returns against a table with faults.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::FaultyTable;
use common::StoreFault;
use common::block_on;
use common::example;
use common::example_with_weight;
use futures_util::future::join;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_config::Configuration;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_sync::AUDIT_PREFIX;
use nutmegwalk_sync::CHANGE_PREFIX;
use nutmegwalk_sync::Published;
use nutmegwalk_sync::Publisher;
use nutmegwalk_sync::SNAPSHOT_PREFIX;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::View;
use nutmegwalk_sync::ViewReader;
use nutmegwalk_sync::versioned_key;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { block_on(async $body) })* };
}

struct Fixture {
    table: Rc<FaultyTable>,
    objects: Rc<MemoryStore>,
}

impl Fixture {
    fn new() -> Self {
        Self {
            table: Rc::default(),
            objects: Rc::default(),
        }
    }

    fn publisher(&self) -> Publisher {
        let table: Rc<dyn TableStore> = self.table.clone();
        Publisher::new(table, self.objects.clone()).with_deadline(Duration::from_secs(20))
    }

    /// Asserts that the head, the change rows and the audit rows agree; returns the number of versions.
    fn check_rows(&self) -> u64 {
        let changes = self.table.store.read_range(CHANGE_PREFIX, "", 10_000);
        let audits = self.table.store.read_range(AUDIT_PREFIX, "", 10_000);
        assert_eq!(changes.len(), audits.len());
        let versions = changes.len() as u64;
        for (change, version) in changes.iter().zip(1..) {
            assert_eq!(change.key, versioned_key(CHANGE_PREFIX, version));
        }
        let head = self.table.store.read(&["config/head".into()]);
        let head = head[0].as_ref().map(|row| row.value.to_string());
        let expected = (versions > 0).then(|| format!("{{\"version\":{versions}}}"));
        assert_eq!(head, expected);
        versions
    }

    /// Reads the table into a new view; returns the view and the number of rows read.
    async fn new_view(&self) -> (View, usize) {
        let timings = SyncTimings::default();
        let view = View::new(timings);
        let table: Rc<dyn TableStore> = self.table.clone();
        let reader = ViewReader::new(table, self.objects.clone(), view.clone(), timings);
        let before = self.table.rows_read.get();
        reader.read_once().await.unwrap();
        (view, self.table.rows_read.get() - before)
    }
}

fn written(version: u64) -> Published {
    Published {
        version,
        changed: true,
    }
}

cases! {
    // Guards against a change without its audit record, and against records out of order.
    each_change_is_audited => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher();
        assert_eq!(publisher.publish("anna", &example(), None).await.unwrap(), written(1));
        assert_eq!(publisher.take_out("juris", "ventspils", false).await.unwrap(), written(2));
        assert_eq!(publisher.publish("anna", &example_with_weight(7), Some(2)).await.unwrap(), written(3));
        assert_eq!(publisher.return_to_service("juris", "ventspils").await.unwrap(), written(4));
        let records = publisher.audit(1, 2).await.unwrap();
        let summary: Vec<_> = records.iter().map(|record| (record.from, record.to, &*record.by, &*record.what)).collect();
        assert_eq!(summary, [
            (1, 2, "juris", "take-out of ventspils"),
            (2, 3, "anna", "publish: set customer night-audit"),
        ]);
        assert!(records.iter().all(|record| record.at_unix_ms > 0));
        assert_eq!(fixture.check_rows(), 4);
    }

    // Guards against a publish that returns a data centre to service because files do not contain service
    // states.
    publish_does_not_return_a_data_centre => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher();
        publisher.publish("anna", &example(), None).await.unwrap();
        publisher.take_out("anna", "ventspils", false).await.unwrap();
        publisher.publish("anna", &example_with_weight(7), None).await.unwrap();
        assert!(!publisher.current().await.unwrap().data_centres["ventspils"].in_service);
    }

    // Guards against two concurrent publishes that both succeed or both fail.
    one_of_two_concurrent_publishes_succeeds => {
        let fixture = Fixture::new();
        let (first, second) = (fixture.publisher(), fixture.publisher());
        first.publish("anna", &example(), None).await.unwrap();
        let wanted = [example_with_weight(7), example_with_weight(8)];
        let (a, b) = join(
            first.publish("anna", &wanted[0], None),
            second.publish("juris", &wanted[1], None),
        ).await;
        let (winner, loser) = if a.is_ok() { (a, b) } else { (b, a) };
        assert_eq!(winner.unwrap(), written(2));
        let error = loser.unwrap_err();
        assert_eq!(error.kind, ErrorKind::Conflict);
        assert!(error.detail.contains("version 2 by") && error.detail.contains("set customer night-audit"), "{error}");
        assert_eq!(fixture.check_rows(), 2);
    }

    // Guards against a publish on top of changes that its author has not seen.
    publish_on_an_old_base_is_rejected => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher();
        publisher.publish("anna", &example(), None).await.unwrap();
        publisher.take_out("juris", "ventspils", false).await.unwrap();
        let error = publisher.publish("anna", &example_with_weight(7), Some(1)).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::Conflict);
        assert!(error.detail.contains("version 2 by juris: take-out of ventspils"), "{error}");
        assert_eq!(fixture.check_rows(), 2);
    }

    // Guards against a conflict reported for the publisher's own write when the answer of that write is lost.
    lost_answer_is_recognised_as_own_write => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher();
        fixture.table.faults.borrow_mut().push_back(StoreFault::AnswerLost);
        assert_eq!(publisher.publish("anna", &example(), None).await.unwrap(), written(1));
        fixture.table.faults.borrow_mut().extend([StoreFault::AnswerLost, StoreFault::Unavailable]);
        assert_eq!(publisher.take_out("anna", "ventspils", false).await.unwrap(), written(2));
        assert_eq!(publisher.publish("anna", &example_with_weight(7), None).await.unwrap(), written(3));
        assert_eq!(fixture.check_rows(), 3);
    }

    // Guards against a lost request reported as written, and against a retry that writes it twice.
    lost_request_is_retried => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher();
        fixture.table.faults.borrow_mut().extend([StoreFault::RequestLost, StoreFault::Unavailable, StoreFault::RequestLost]);
        assert_eq!(publisher.publish("anna", &example(), None).await.unwrap(), written(1));
        assert_eq!(fixture.table.transactions.get(), 4);
        assert_eq!(fixture.check_rows(), 1);
    }

    // Guards against success reported for a write with an unknown outcome when another operator's write was
    // committed in its place.
    other_write_after_a_lost_request_is_a_conflict => {
        let fixture = Fixture::new();
        let (first, second) = (fixture.publisher(), fixture.publisher());
        first.publish("anna", &example(), None).await.unwrap();
        fixture.table.faults.borrow_mut().push_back(StoreFault::RequestLost);
        let (a, b) = join(
            first.publish("anna", &example_with_weight(7), None),
            second.publish("juris", &example_with_weight(8), None),
        ).await;
        assert_eq!([a.is_ok(), b.is_ok()].iter().filter(|won| **won).count(), 1);
        assert_eq!(fixture.check_rows(), 2);
    }

    // Guards against success or failure reported for a write whose outcome is unknown.
    unknown_outcome_is_reported => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher().with_deadline(Duration::from_millis(100));
        fixture.table.faults.borrow_mut().extend([StoreFault::RequestLost; 100]);
        let error = publisher.publish("anna", &example(), None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnknown);
        assert!(error.detail.contains("version 1 may have been written"), "{error}");
        fixture.table.faults.borrow_mut().clear();
        fixture.table.faults.borrow_mut().extend([StoreFault::Unavailable; 100]);
        let error = publisher.publish("anna", &example(), None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        assert_eq!(fixture.check_rows(), 0);
    }

    // Guards against a transaction that writes some of its rows and not the others.
    rejected_transaction_writes_no_row => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher();
        publisher.publish("anna", &example(), None).await.unwrap();
        let conflicting = fixture.table.store.read(&[versioned_key(CHANGE_PREFIX, 1)])[0].clone().unwrap();
        let key = versioned_key(CHANGE_PREFIX, 2);
        fixture.table.store.apply(&Transaction::new().with_put(key.clone(), conflicting.value));
        let error = publisher.publish("anna", &example_with_weight(7), None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::Conflict);
        fixture.table.store.apply(&Transaction::new().with_delete(key));
        assert_eq!(fixture.check_rows(), 1);
        assert_eq!(publisher.publish("anna", &example_with_weight(7), None).await.unwrap(), written(2));
    }

    // Guards against a publish that waits forever for a store that is down.
    publish_while_the_store_is_down_changes_nothing => {
        let fixture = Fixture::new();
        fixture.table.down.set(true);
        let publisher = fixture.publisher().with_deadline(Duration::from_millis(100));
        let error = publisher.publish("anna", &example(), None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        fixture.table.down.set(false);
        assert_eq!(fixture.check_rows(), 0);
        assert_eq!(fixture.publisher().publish("anna", &example(), None).await.unwrap(), written(1));
    }

    // Guards against an invalid configuration that is written to the table.
    invalid_configuration_is_not_written => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher();
        let error = publisher.publish("anna", &Configuration::default(), None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::InvalidConfiguration);
        let mut wanted = example();
        let mut double = wanted.customers["night-audit"].clone();
        double.token_digest = "0".repeat(64).into();
        wanted.customers.insert("day-audit".into(), double);
        let error = publisher.publish("anna", &wanted, None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::GuaranteesClash);
        assert!(error.detail.contains("rezekne cannot hold"), "{error}");
        let error = publisher.take_out("anna", "riga", false).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::NotFound);
        assert_eq!(fixture.check_rows(), 0);
    }

    // Guards against an urgent take-out that fails because of a concurrent publish that is unrelated to it.
    take_out_is_retried_after_an_unrelated_publish => {
        let fixture = Fixture::new();
        let (first, second) = (fixture.publisher(), fixture.publisher());
        first.publish("anna", &example(), None).await.unwrap();
        let wanted = example_with_weight(7);
        let (published, taken_out) = join(
            first.publish("anna", &wanted, None),
            second.take_out("juris", "ventspils", false),
        ).await;
        assert!(taken_out.unwrap().changed);
        // The publish may fail with a conflict, which its author has to resolve.
        assert!(published.is_ok() || published.unwrap_err().kind == ErrorKind::Conflict);
        assert!(!first.current().await.unwrap().data_centres["ventspils"].in_service);
        fixture.check_rows();
    }

    // Guards against a return that reverts a take-out that its author has not seen.
    take_out_during_return_is_a_conflict => {
        let fixture = Fixture::new();
        let (first, second) = (fixture.publisher(), fixture.publisher());
        first.publish("anna", &example(), None).await.unwrap();
        first.take_out("anna", "ventspils", false).await.unwrap();
        let (returned, lost) = join(
            first.return_to_service("anna", "ventspils"),
            second.take_out("juris", "ventspils", true),
        ).await;
        let results = [returned, lost];
        assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
        let error = results.into_iter().find_map(Result::err).unwrap();
        assert_eq!(error.kind, ErrorKind::Conflict);
        assert!(error.detail.contains("ventspils"), "{error}");
        assert_eq!(fixture.check_rows(), 3);
    }

    // Guards against repeated commands that write a new version each time.
    repeated_commands_write_nothing => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher();
        publisher.publish("anna", &example(), None).await.unwrap();
        assert!(!publisher.publish("anna", &example(), None).await.unwrap().changed);
        assert!(!publisher.return_to_service("anna", "ventspils").await.unwrap().changed);
        publisher.take_out("anna", "ventspils", false).await.unwrap();
        assert_eq!(publisher.take_out("juris", "ventspils", false).await.unwrap(), Published { version: 2, changed: false });
        assert_eq!(publisher.take_out("juris", "ventspils", true).await.unwrap(), written(3));
        assert!(!publisher.take_out("juris", "ventspils", false).await.unwrap().changed);
        assert!(publisher.current().await.unwrap().taken_out["ventspils"].lost);
        assert_eq!(fixture.check_rows(), 3);
    }

    // Guards against a new reader that has to read the whole history.
    new_reader_reads_at_most_100_changes => {
        let fixture = Fixture::new();
        let publisher = fixture.publisher();
        for weight in 1..=250 {
            publisher.publish("anna", &example_with_weight(1000 + weight), None).await.unwrap();
        }
        assert_eq!(fixture.check_rows(), 250);
        assert!(fixture.objects.read_object(&versioned_key(SNAPSHOT_PREFIX, 200)).is_some());
        let (view, rows) = fixture.new_view().await;
        assert_eq!(view.version(), 250);
        // 50 changes, the head and the rows of three data centres and the dispatcher.
        assert!(rows <= 55, "{rows}");
        assert_eq!(view.configuration(), publisher.current().await.unwrap());
        // A newly started publisher writes a snapshot that an earlier one failed to write.
        let missing = versioned_key(SNAPSHOT_PREFIX, 200);
        let fixture = Fixture { table: fixture.table, objects: Rc::default() };
        let (view, _) = fixture.new_view().await;
        assert_eq!(view.version(), 250);
        fixture.publisher().publish("anna", &example(), None).await.unwrap();
        assert!(fixture.objects.read_object(&missing).is_some());
    }
}
