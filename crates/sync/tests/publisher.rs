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

struct Bench {
    table: Rc<FaultyTable>,
    objects: Rc<MemoryStore>,
}

impl Bench {
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

    /// Checks that head, changes and audit records agree, and returns the number of versions.
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

    async fn fresh_view(&self) -> (View, usize) {
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
        let bench = Bench::new();
        let publisher = bench.publisher();
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
        assert_eq!(bench.check_rows(), 4);
    }

    // Guards against the files' silence about service states returning a data centre.
    publish_does_not_return_a_data_centre => {
        let bench = Bench::new();
        let publisher = bench.publisher();
        publisher.publish("anna", &example(), None).await.unwrap();
        publisher.take_out("anna", "ventspils", false).await.unwrap();
        publisher.publish("anna", &example_with_weight(7), None).await.unwrap();
        assert!(!publisher.current().await.unwrap().data_centres["ventspils"].in_service);
    }

    // Guards against two concurrent publishes of which both or neither win.
    publish_race_has_one_winner => {
        let bench = Bench::new();
        let (first, second) = (bench.publisher(), bench.publisher());
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
        assert_eq!(bench.check_rows(), 2);
    }

    // Guards against a publish on top of changes that its author has not seen.
    publish_on_an_old_base_is_refused => {
        let bench = Bench::new();
        let publisher = bench.publisher();
        publisher.publish("anna", &example(), None).await.unwrap();
        publisher.take_out("juris", "ventspils", false).await.unwrap();
        let error = publisher.publish("anna", &example_with_weight(7), Some(1)).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::Conflict);
        assert!(error.detail.contains("version 2 by juris: take-out of ventspils"), "{error}");
        assert_eq!(bench.check_rows(), 2);
    }

    // Guards against an own write being reported as someone else's when its answer is lost.
    lost_answer_is_recognised_as_own_write => {
        let bench = Bench::new();
        let publisher = bench.publisher();
        bench.table.faults.borrow_mut().push_back(StoreFault::AnswerLost);
        assert_eq!(publisher.publish("anna", &example(), None).await.unwrap(), written(1));
        bench.table.faults.borrow_mut().extend([StoreFault::AnswerLost, StoreFault::Unavailable]);
        assert_eq!(publisher.take_out("anna", "ventspils", false).await.unwrap(), written(2));
        assert_eq!(publisher.publish("anna", &example_with_weight(7), None).await.unwrap(), written(3));
        assert_eq!(bench.check_rows(), 3);
    }

    // Guards against a lost request being reported as written, and against writing it twice.
    lost_request_is_sent_again => {
        let bench = Bench::new();
        let publisher = bench.publisher();
        bench.table.faults.borrow_mut().extend([StoreFault::RequestLost, StoreFault::Unavailable, StoreFault::RequestLost]);
        assert_eq!(publisher.publish("anna", &example(), None).await.unwrap(), written(1));
        assert_eq!(bench.table.transactions.get(), 4);
        assert_eq!(bench.check_rows(), 1);
    }

    // Guards against an unknown outcome turning into success when another operator's write took its place.
    other_write_after_a_lost_request_is_a_conflict => {
        let bench = Bench::new();
        let (first, second) = (bench.publisher(), bench.publisher());
        first.publish("anna", &example(), None).await.unwrap();
        bench.table.faults.borrow_mut().push_back(StoreFault::RequestLost);
        let (a, b) = join(
            first.publish("anna", &example_with_weight(7), None),
            second.publish("juris", &example_with_weight(8), None),
        ).await;
        assert_eq!([a.is_ok(), b.is_ok()].iter().filter(|won| **won).count(), 1);
        assert_eq!(bench.check_rows(), 2);
    }

    // Guards against "nothing changed" or "done" being claimed when nobody can know.
    outcome_that_stays_unknown_is_reported_so => {
        let bench = Bench::new();
        let publisher = bench.publisher().with_deadline(Duration::from_millis(100));
        bench.table.faults.borrow_mut().extend([StoreFault::RequestLost; 100]);
        let error = publisher.publish("anna", &example(), None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnknown);
        assert!(error.detail.contains("version 1 may have been written"), "{error}");
        bench.table.faults.borrow_mut().clear();
        bench.table.faults.borrow_mut().extend([StoreFault::Unavailable; 100]);
        let error = publisher.publish("anna", &example(), None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        assert_eq!(bench.check_rows(), 0);
    }

    // Guards against a transaction of which some rows are written and others not.
    refused_transaction_writes_no_row => {
        let bench = Bench::new();
        let publisher = bench.publisher();
        publisher.publish("anna", &example(), None).await.unwrap();
        let stray = bench.table.store.read(&[versioned_key(CHANGE_PREFIX, 1)])[0].clone().unwrap();
        let key = versioned_key(CHANGE_PREFIX, 2);
        bench.table.store.apply(&Transaction::new().with_put(key.clone(), stray.value));
        let error = publisher.publish("anna", &example_with_weight(7), None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::Conflict);
        bench.table.store.apply(&Transaction::new().with_delete(key));
        assert_eq!(bench.check_rows(), 1);
        assert_eq!(publisher.publish("anna", &example_with_weight(7), None).await.unwrap(), written(2));
    }

    // Guards against a publish that waits for ever for a store that is down.
    publish_while_the_store_is_down_changes_nothing => {
        let bench = Bench::new();
        bench.table.down.set(true);
        let publisher = bench.publisher().with_deadline(Duration::from_millis(100));
        let error = publisher.publish("anna", &example(), None).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::StoreUnavailable);
        bench.table.down.set(false);
        assert_eq!(bench.check_rows(), 0);
        assert_eq!(bench.publisher().publish("anna", &example(), None).await.unwrap(), written(1));
    }

    // Guards against a wrong configuration reaching the table.
    wrong_configuration_is_not_written => {
        let bench = Bench::new();
        let publisher = bench.publisher();
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
        assert_eq!(bench.check_rows(), 0);
    }

    // Guards against an urgent take-out being refused because of an unrelated publish.
    take_out_survives_an_unrelated_publish => {
        let bench = Bench::new();
        let (first, second) = (bench.publisher(), bench.publisher());
        first.publish("anna", &example(), None).await.unwrap();
        let wanted = example_with_weight(7);
        let (published, taken_out) = join(
            first.publish("anna", &wanted, None),
            second.take_out("juris", "ventspils", false),
        ).await;
        assert!(taken_out.unwrap().changed);
        // The publish may lose the race, which is a conflict for its author to look at.
        assert!(published.is_ok() || published.unwrap_err().kind == ErrorKind::Conflict);
        assert!(!first.current().await.unwrap().data_centres["ventspils"].in_service);
        bench.check_rows();
    }

    // Guards against a return that undoes a take-out which its author has not seen.
    take_out_during_return_is_a_conflict => {
        let bench = Bench::new();
        let (first, second) = (bench.publisher(), bench.publisher());
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
        assert_eq!(bench.check_rows(), 3);
    }

    // Guards against a repeated take-out or return that writes versions without end.
    repeated_commands_write_nothing => {
        let bench = Bench::new();
        let publisher = bench.publisher();
        publisher.publish("anna", &example(), None).await.unwrap();
        assert!(!publisher.publish("anna", &example(), None).await.unwrap().changed);
        assert!(!publisher.return_to_service("anna", "ventspils").await.unwrap().changed);
        publisher.take_out("anna", "ventspils", false).await.unwrap();
        assert_eq!(publisher.take_out("juris", "ventspils", false).await.unwrap(), Published { version: 2, changed: false });
        assert_eq!(publisher.take_out("juris", "ventspils", true).await.unwrap(), written(3));
        assert!(!publisher.take_out("juris", "ventspils", false).await.unwrap().changed);
        assert!(publisher.current().await.unwrap().taken_out["ventspils"].lost);
        assert_eq!(bench.check_rows(), 3);
    }

    // Guards against a fresh reader that has to fetch the whole history.
    fresh_reader_needs_at_most_100_changes => {
        let bench = Bench::new();
        let publisher = bench.publisher();
        for weight in 1..=250 {
            publisher.publish("anna", &example_with_weight(1000 + weight), None).await.unwrap();
        }
        assert_eq!(bench.check_rows(), 250);
        assert!(bench.objects.read_object(&versioned_key(SNAPSHOT_PREFIX, 200)).is_some());
        let (view, rows) = bench.fresh_view().await;
        assert_eq!(view.version(), 250);
        // 50 changes, the head and the rows of three data centres and the dispatcher.
        assert!(rows <= 55, "{rows}");
        assert_eq!(view.configuration(), publisher.current().await.unwrap());
        // A publisher that was just started writes the snapshot that another one could not.
        let missing = versioned_key(SNAPSHOT_PREFIX, 200);
        let bench = Bench { table: bench.table, objects: Rc::default() };
        let (view, _) = bench.fresh_view().await;
        assert_eq!(view.version(), 250);
        bench.publisher().publish("anna", &example(), None).await.unwrap();
        assert!(bench.objects.read_object(&missing).is_some());
    }
}
