//! Tests of views, of the reader on entry hosts, and of permissions to start.

mod common;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::FaultyTable;
use common::LIMIT;
use common::block_on;
use common::example;
use common::example_with_weight;
use common::until;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_net::Drain;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_sync::Publisher;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::View;
use nutmegwalk_sync::ViewReader;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { block_on(async $body) })* };
}

struct Bench {
    table: Rc<FaultyTable>,
    publisher: Publisher,
    view: View,
    reader: Rc<ViewReader>,
}

fn bench(timings: SyncTimings) -> Bench {
    let table: Rc<FaultyTable> = Rc::default();
    let objects: Rc<MemoryStore> = Rc::default();
    let as_store: Rc<dyn TableStore> = table.clone();
    let view = View::new(timings);
    Bench {
        publisher: Publisher::new(as_store.clone(), objects.clone()),
        reader: Rc::new(ViewReader::new(as_store, objects, view.clone(), timings)),
        table,
        view,
    }
}

/// Intervals under which a view is only stale when a test says so.
fn patient() -> SyncTimings {
    common::timings()
}

fn put(table: &FaultyTable, key: &str, value: &str) {
    table
        .store
        .apply(&Transaction::new().with_put(key, value.to_string()));
}

cases! {
    // Guards against a restarted process that starts work before it knows the configuration.
    view_without_confirmation_permits_nothing => {
        let bench = bench(patient());
        assert_eq!(bench.view.start_permission("ventspils").unwrap_err().kind, ErrorKind::StaleView);
        assert_eq!(bench.view.age(), None);
        bench.publisher.publish("anna", &example(), None).await.unwrap();
        bench.table.down.set(true);
        assert!(bench.reader.read_once().await.is_err());
        assert_eq!(bench.view.start_permission("ventspils").unwrap_err().kind, ErrorKind::StaleView);
        bench.table.down.set(false);
        bench.reader.read_once().await.unwrap();
        bench.view.start_permission("ventspils").unwrap();
        assert_eq!(bench.view.start_permission("riga").unwrap_err().kind, ErrorKind::NotFound);
    }

    // Guards against a start in a data centre that operators took out.
    take_out_withdraws_the_permission => {
        let bench = bench(patient());
        bench.publisher.publish("anna", &example(), None).await.unwrap();
        bench.reader.read_once().await.unwrap();
        bench.publisher.take_out("anna", "ventspils", false).await.unwrap();
        bench.reader.read_once().await.unwrap();
        assert_eq!(bench.view.start_permission("ventspils").unwrap_err().kind, ErrorKind::DataCentreOut);
        bench.view.start_permission("valmiera").unwrap();
        bench.publisher.return_to_service("anna", "ventspils").await.unwrap();
        bench.reader.read_once().await.unwrap();
        bench.view.start_permission("ventspils").unwrap();
    }

    // Guards against a process that goes on starting work during a store outage.
    permission_lapses_while_the_store_is_down => {
        let timings = SyncTimings {
            permission_age: Duration::from_millis(500),
            isolated_after: Duration::from_millis(700),
            ..patient()
        };
        let bench = bench(timings);
        bench.publisher.publish("anna", &example(), None).await.unwrap();
        let drain = Drain::new();
        let (reader, running) = (Rc::clone(&bench.reader), drain.clone());
        compio::runtime::spawn(async move { reader.run(running).await }).detach();
        until("the view is confirmed", || bench.view.age().is_some()).await;
        bench.table.down.set(true);
        let view = bench.view.clone();
        until("the permission lapses", || {
            view.start_permission("ventspils").is_err_and(|error| error.kind == ErrorKind::StaleView)
        }).await;
        until("the process counts as isolated", || view.is_isolated()).await;
        assert_eq!(view.version(), 1);
        bench.table.down.set(false);
        until("the permission is back", || view.start_permission("ventspils").is_ok()).await;
        assert!(!view.is_isolated() || view.age().unwrap() >= timings.isolated_after);
        drain.start();
    }

    // Guards against an age that is counted from the answer and not from before the question.
    slow_read_counts_into_the_age => {
        let bench = bench(patient());
        bench.publisher.publish("anna", &example(), None).await.unwrap();
        let sent = Instant::now();
        bench.reader.read_once().await.unwrap();
        compio::time::sleep(Duration::from_millis(30)).await;
        let confirmed = bench.view.confirmed_at().unwrap();
        assert!(confirmed >= sent);
        assert!(bench.view.age().unwrap() >= Duration::from_millis(30));
    }

    // Guards against a view that goes back, or that takes an old version as a confirmation of a new one.
    older_versions_are_not_accepted => {
        let bench = bench(patient());
        bench.publisher.publish("anna", &example(), None).await.unwrap();
        bench.reader.read_once().await.unwrap();
        let old = bench.view.configuration();
        bench.publisher.publish("anna", &example_with_weight(7), None).await.unwrap();
        bench.reader.read_once().await.unwrap();
        let step = nutmegwalk_sync::Step { configuration: old, change: None };
        assert!(!bench.view.advance(&[step]));
        assert_eq!(bench.view.version(), 2);
        let confirmed = bench.view.confirmed_at();
        assert!(!bench.view.confirm(1, Instant::now()));
        assert_eq!(bench.view.confirmed_at(), confirmed);
        // An earlier confirmation of the same version does not make the view older.
        assert!(bench.view.confirm(2, confirmed.unwrap() - Duration::from_millis(1)));
        assert_eq!(bench.view.confirmed_at(), confirmed);
    }

    // Guards against owner rows that are missed, kept after deletion or put back to an older state.
    owner_rows_are_followed => {
        let bench = bench(SyncTimings { scan_every: 2, ..patient() });
        bench.publisher.publish("anna", &example(), None).await.unwrap();
        put(&bench.table, "owner/ventspils", "{\"epoch\":1}");
        put(&bench.table, "owner/unlisted", "{\"epoch\":5}");
        bench.reader.read_once().await.unwrap();
        let owners = bench.view.owners();
        assert_eq!(&*owners["ventspils"].value, "{\"epoch\":1}");
        assert_eq!(&*owners["unlisted"].value, "{\"epoch\":5}");
        put(&bench.table, "owner/ventspils", "{\"epoch\":2}");
        bench.reader.read_once().await.unwrap();
        assert_eq!(&*bench.view.owners()["ventspils"].value, "{\"epoch\":2}");
        let old = owners["ventspils"].clone();
        bench.view.update_owners([("ventspils".into(), old)], &[]);
        assert_eq!(&*bench.view.owners()["ventspils"].value, "{\"epoch\":2}");
        bench.table.store.apply(&Transaction::new().with_delete("owner/unlisted"));
        bench.reader.read_once().await.unwrap();
        assert!(!bench.view.owners().contains_key("unlisted"));
        let revision = bench.view.revision();
        bench.reader.read_once().await.unwrap();
        assert_eq!(bench.view.revision(), revision);
    }

    // Guards against a reader that uses up the table's reads.
    regular_rounds_need_one_read => {
        let bench = bench(patient());
        bench.publisher.publish("anna", &example(), None).await.unwrap();
        bench.reader.read_once().await.unwrap();
        let (gets, scans, before) = (bench.table.gets.get(), bench.table.scans.get(), bench.reader.reads());
        for _ in 0..20 {
            bench.reader.read_once().await.unwrap();
        }
        assert_eq!(bench.table.gets.get() - gets, 20);
        assert_eq!(bench.table.scans.get() - scans, 2);
        assert_eq!(bench.reader.reads() - before, 22);
    }

    // Guards against a damaged row that stops the process or is taken for an empty configuration.
    damaged_rows_are_errors => {
        let bench = bench(patient());
        bench.publisher.publish("anna", &example(), None).await.unwrap();
        bench.reader.read_once().await.unwrap();
        for value in ["", "{}", "[true]", "{\"version\":-1}", "{\"version\":3}", "{\"version\":18446744073709551615}"] {
            put(&bench.table, "config/head", value);
            assert!(bench.reader.read_once().await.is_err(), "{value}");
            assert_eq!(bench.view.version(), 1);
        }
        // A head that goes back is no confirmation.
        let confirmed = bench.view.confirmed_at();
        put(&bench.table, "config/head", "{\"version\":0}");
        let _ = bench.reader.read_once().await;
        assert_eq!((bench.view.version(), bench.view.confirmed_at()), (1, confirmed));
    }

    // Guards against a reader that never catches up with a long history, because each attempt starts anew.
    interrupted_reader_keeps_what_it_has => {
        let bench = bench(patient());
        for weight in 1..=150 {
            bench.publisher.publish("anna", &example_with_weight(1000 + weight), None).await.unwrap();
        }
        let gone = nutmegwalk_sync::versioned_key(nutmegwalk_sync::CHANGE_PREFIX, 140);
        let row = bench.table.store.read(std::slice::from_ref(&gone))[0].clone().unwrap();
        bench.table.store.apply(&Transaction::new().with_delete(gone));
        assert!(bench.reader.read_once().await.is_err());
        assert_eq!((bench.view.version(), bench.view.age()), (100, None));
        put(&bench.table, &row.key, &row.value);
        bench.reader.read_once().await.unwrap();
        assert_eq!(bench.view.version(), 150);
        assert!(bench.view.age().is_some());
    }

    // Guards against a read that hangs and stops the reader for ever.
    hanging_read_is_given_up => {
        let timings = SyncTimings { read_timeout: Duration::from_millis(50), ..patient() };
        let bench = bench(timings);
        let drain = Drain::new();
        let (reader, running) = (Rc::clone(&bench.reader), drain.clone());
        bench.table.hang.set(true);
        compio::runtime::spawn(async move { reader.run(running).await }).detach();
        until("two reads were given up", || bench.table.gets.get() >= 3).await;
        bench.table.hang.set(false);
        until("the view is confirmed", || bench.view.age().is_some_and(|age| age < LIMIT)).await;
        drain.start();
    }
}
