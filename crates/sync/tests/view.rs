//! Tests of views, of the reader on entry hosts, and of start permissions.

mod common;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::FaultyTable;
use common::LIMIT;
use common::block_on;
use common::example;
use common::example_with_weight;
use common::wait_until;

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

struct Fixture {
    table: Rc<FaultyTable>,
    publisher: Publisher,
    view: View,
    reader: Rc<ViewReader>,
}

fn fixture(timings: SyncTimings) -> Fixture {
    let table: Rc<FaultyTable> = Rc::default();
    let objects: Rc<MemoryStore> = Rc::default();
    let as_store: Rc<dyn TableStore> = table.clone();
    let view = View::new(timings);
    Fixture {
        publisher: Publisher::new(as_store.clone(), objects.clone()),
        reader: Rc::new(ViewReader::new(as_store, objects, view.clone(), timings)),
        table,
        view,
    }
}

/// Returns intervals under which a view becomes stale only when a test shortens them.
fn lenient_timings() -> SyncTimings {
    common::timings()
}

fn put(table: &FaultyTable, key: &str, value: &str) {
    table
        .store
        .apply(&Transaction::new().with_put(key, value.to_string()));
}

cases! {
    // Guards against a restarted process that starts work before it has received the configuration.
    view_without_confirmation_gives_no_permission => {
        let fixture = fixture(lenient_timings());
        assert_eq!(fixture.view.check_start_permission("ventspils").unwrap_err().kind, ErrorKind::StaleView);
        assert_eq!(fixture.view.age(), None);
        fixture.publisher.publish("anna", &example(), None).await.unwrap();
        fixture.table.down.set(true);
        assert!(fixture.reader.read_once().await.is_err());
        assert_eq!(fixture.view.check_start_permission("ventspils").unwrap_err().kind, ErrorKind::StaleView);
        fixture.table.down.set(false);
        fixture.reader.read_once().await.unwrap();
        fixture.view.check_start_permission("ventspils").unwrap();
        assert_eq!(fixture.view.check_start_permission("riga").unwrap_err().kind, ErrorKind::NotFound);
    }

    // Guards against a start in a data centre that operators have taken out of service.
    take_out_withdraws_the_permission => {
        let fixture = fixture(lenient_timings());
        fixture.publisher.publish("anna", &example(), None).await.unwrap();
        fixture.reader.read_once().await.unwrap();
        fixture.publisher.take_out("anna", "ventspils", false).await.unwrap();
        fixture.reader.read_once().await.unwrap();
        assert_eq!(fixture.view.check_start_permission("ventspils").unwrap_err().kind, ErrorKind::DataCentreOut);
        fixture.view.check_start_permission("valmiera").unwrap();
        fixture.publisher.return_to_service("anna", "ventspils").await.unwrap();
        fixture.reader.read_once().await.unwrap();
        fixture.view.check_start_permission("ventspils").unwrap();
    }

    // Guards against a process that continues to start work during a store outage.
    permission_lapses_while_the_store_is_down => {
        let timings = SyncTimings {
            max_permission_age: Duration::from_millis(500),
            isolated_after: Duration::from_millis(700),
            ..lenient_timings()
        };
        let fixture = fixture(timings);
        fixture.publisher.publish("anna", &example(), None).await.unwrap();
        let drain = Drain::new();
        let (reader, running) = (Rc::clone(&fixture.reader), drain.clone());
        compio::runtime::spawn(async move { reader.run(running).await }).detach();
        wait_until("the view is confirmed", || fixture.view.age().is_some()).await;
        fixture.table.down.set(true);
        let view = fixture.view.clone();
        wait_until("the permission lapses", || {
            view.check_start_permission("ventspils").is_err_and(|error| error.kind == ErrorKind::StaleView)
        }).await;
        wait_until("the process counts as isolated", || view.is_isolated()).await;
        assert_eq!(view.version(), 1);
        fixture.table.down.set(false);
        wait_until("the permission is back", || view.check_start_permission("ventspils").is_ok()).await;
        assert!(!view.is_isolated() || view.age().unwrap() >= timings.isolated_after);
        drain.start();
    }

    // Guards against an age that is counted from the answer and not from the time the read was sent.
    age_includes_the_duration_of_the_read => {
        let fixture = fixture(lenient_timings());
        fixture.publisher.publish("anna", &example(), None).await.unwrap();
        let sent = Instant::now();
        fixture.reader.read_once().await.unwrap();
        compio::time::sleep(Duration::from_millis(30)).await;
        let confirmed = fixture.view.confirmed_at().unwrap();
        assert!(confirmed >= sent);
        assert!(fixture.view.age().unwrap() >= Duration::from_millis(30));
    }

    // Guards against a view that returns to an older version, or that counts an older version as a
    // confirmation of the current one.
    older_versions_are_not_accepted => {
        let fixture = fixture(lenient_timings());
        fixture.publisher.publish("anna", &example(), None).await.unwrap();
        fixture.reader.read_once().await.unwrap();
        let old = fixture.view.configuration();
        fixture.publisher.publish("anna", &example_with_weight(7), None).await.unwrap();
        fixture.reader.read_once().await.unwrap();
        let step = nutmegwalk_sync::VersionStep { configuration: old, change: None };
        assert!(!fixture.view.advance(&[step]));
        assert_eq!(fixture.view.version(), 2);
        let confirmed = fixture.view.confirmed_at();
        assert!(!fixture.view.confirm(1, Instant::now()));
        assert_eq!(fixture.view.confirmed_at(), confirmed);
        // An earlier confirmation of the same version does not make the view older.
        assert!(fixture.view.confirm(2, confirmed.unwrap() - Duration::from_millis(1)));
        assert_eq!(fixture.view.confirmed_at(), confirmed);
    }

    // Guards against owner rows that are missed, kept after their deletion or replaced by an older version.
    owner_rows_are_followed => {
        let fixture = fixture(SyncTimings { rounds_per_scan: 2, ..lenient_timings() });
        fixture.publisher.publish("anna", &example(), None).await.unwrap();
        put(&fixture.table, "owner/ventspils", "{\"epoch\":1}");
        put(&fixture.table, "owner/unlisted", "{\"epoch\":5}");
        fixture.reader.read_once().await.unwrap();
        let owners = fixture.view.owners();
        assert_eq!(&*owners["ventspils"].value, "{\"epoch\":1}");
        assert_eq!(&*owners["unlisted"].value, "{\"epoch\":5}");
        put(&fixture.table, "owner/ventspils", "{\"epoch\":2}");
        fixture.reader.read_once().await.unwrap();
        assert_eq!(&*fixture.view.owners()["ventspils"].value, "{\"epoch\":2}");
        let old = owners["ventspils"].clone();
        fixture.view.update_owners([("ventspils".into(), old)], &[]);
        assert_eq!(&*fixture.view.owners()["ventspils"].value, "{\"epoch\":2}");
        fixture.table.store.apply(&Transaction::new().with_delete("owner/unlisted"));
        fixture.reader.read_once().await.unwrap();
        assert!(!fixture.view.owners().contains_key("unlisted"));
        let revision = fixture.view.revision();
        fixture.reader.read_once().await.unwrap();
        assert_eq!(fixture.view.revision(), revision);
    }

    // Guards against a reader that exhausts the read capacity of the table: it may make one read per round and
    // one per scan.
    regular_rounds_need_one_read => {
        let fixture = fixture(lenient_timings());
        fixture.publisher.publish("anna", &example(), None).await.unwrap();
        fixture.reader.read_once().await.unwrap();
        let (gets, scans, before) = (fixture.table.gets.get(), fixture.table.scans.get(), fixture.reader.reads());
        for _ in 0..20 {
            fixture.reader.read_once().await.unwrap();
        }
        assert_eq!(fixture.table.gets.get() - gets, 20);
        assert_eq!(fixture.table.scans.get() - scans, 2);
        assert_eq!(fixture.reader.reads() - before, 22);
    }

    // Guards against a malformed row that makes the process panic or is treated as an empty configuration.
    damaged_rows_are_errors => {
        let fixture = fixture(lenient_timings());
        fixture.publisher.publish("anna", &example(), None).await.unwrap();
        fixture.reader.read_once().await.unwrap();
        for value in ["", "{}", "[true]", "{\"version\":-1}", "{\"version\":3}", "{\"version\":18446744073709551615}"] {
            put(&fixture.table, "config/head", value);
            assert!(fixture.reader.read_once().await.is_err(), "{value}");
            assert_eq!(fixture.view.version(), 1);
        }
        // A head with an older version is no confirmation.
        let confirmed = fixture.view.confirmed_at();
        put(&fixture.table, "config/head", "{\"version\":0}");
        let _ = fixture.reader.read_once().await;
        assert_eq!((fixture.view.version(), fixture.view.confirmed_at()), (1, confirmed));
    }

    // Guards against a reader that never catches up with a long history because each interrupted attempt
    // starts again from the beginning.
    interrupted_reader_keeps_complete_batches => {
        let fixture = fixture(lenient_timings());
        for weight in 1..=150 {
            fixture.publisher.publish("anna", &example_with_weight(1000 + weight), None).await.unwrap();
        }
        let missing_key = nutmegwalk_sync::versioned_key(nutmegwalk_sync::CHANGE_PREFIX, 140);
        let row = fixture.table.store.read(std::slice::from_ref(&missing_key))[0].clone().unwrap();
        fixture.table.store.apply(&Transaction::new().with_delete(missing_key));
        assert!(fixture.reader.read_once().await.is_err());
        assert_eq!((fixture.view.version(), fixture.view.age()), (100, None));
        put(&fixture.table, &row.key, &row.value);
        fixture.reader.read_once().await.unwrap();
        assert_eq!(fixture.view.version(), 150);
        assert!(fixture.view.age().is_some());
    }

    // Guards against a reader that is blocked forever by a read that hangs.
    hanging_read_times_out => {
        let timings = SyncTimings { read_timeout: Duration::from_millis(50), ..lenient_timings() };
        let fixture = fixture(timings);
        let drain = Drain::new();
        let (reader, running) = (Rc::clone(&fixture.reader), drain.clone());
        fixture.table.hang.set(true);
        compio::runtime::spawn(async move { reader.run(running).await }).detach();
        wait_until("two reads have timed out", || fixture.table.gets.get() >= 3).await;
        fixture.table.hang.set(false);
        wait_until("the view is confirmed", || fixture.view.age().is_some_and(|age| age < LIMIT)).await;
        drain.start();
    }
}
