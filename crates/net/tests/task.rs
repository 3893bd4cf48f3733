//! Tests of tasks that panic.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use nutmegwalk_net::spawn_restarting;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[rstest::rstest] fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body);
        })*
    };
}

cases! {
    // Guards against a process that goes on without one of its tasks after an unexpected error: an owner without its
    // planner would keep the lease and start nothing.
    task_that_panics_is_run_again => {
        let runs = Rc::new(Cell::new(0));
        let counted = Rc::clone(&runs);
        let task = spawn_restarting("test", move || {
            let runs = Rc::clone(&counted);
            async move {
                runs.set(runs.get() + 1);
                assert!(runs.get() > 1, "the first run fails");
            }
        });
        task.await.expect("the second run ends normally");
        assert_eq!(runs.get(), 2);
    }

    // Guards against a task that outlives its handle, for example the planner of a term that has ended.
    task_ends_with_its_handle => {
        let runs = Rc::new(Cell::new(0));
        let counted = Rc::clone(&runs);
        let task = spawn_restarting("test", move || {
            let runs = Rc::clone(&counted);
            async move {
                loop {
                    runs.set(runs.get() + 1);
                    compio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        });
        compio::time::sleep(Duration::from_millis(50)).await;
        drop(task);
        compio::time::sleep(Duration::from_millis(20)).await;
        let after_end = runs.get();
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(runs.get(), after_end);
    }
}
