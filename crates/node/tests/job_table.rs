//! Tests of the job rows behind the product's own interface.

mod common;

use std::rc::Rc;

use common::record;

use nutmegwalk_base::Outcome;
use nutmegwalk_emulator::EmulatedStore;
use nutmegwalk_node::job_table::JobTable;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() { compio::runtime::Runtime::new().unwrap().block_on(async $body) })*
    };
}

cases! {
    // Guards against a repeated submission that is answered as not run although the job is stored and will run.
    accepted_job_that_cannot_be_read_is_not_answered_as_not_run => {
        let store = EmulatedStore::new();
        let jobs = JobTable::new(Rc::new(store.clone()));
        jobs.accept(&record("pair", 2, 8)).await.unwrap();
        store.goes_down_with_next_write.set(true);
        let error = jobs.accept(&record("pair", 2, 8)).await.unwrap_err();
        assert_eq!(error.outcome(), Outcome::Unknown);
    }
}
