//! Tests of the detection of stalled tasks.

use std::time::Duration;

use nutmegwalk_placement::TaskProgress;

macro_rules! cases {
    ($($name:ident: $percent:literal % for $unchanged_ms:literal ms, saves $saves:literal, of $run_time_s:literal s => $expected:literal;)*) => {
        $(#[rstest::rstest] fn $name() {
            let progress = TaskProgress {
                percent: $percent,
                stalled_for: Duration::from_millis($unchanged_ms),
                has_checkpoints: $saves,
                run_time: Duration::from_secs($run_time_s),
            };
            assert_eq!(progress.is_stalled(), $expected);
        })*
    };
}

cases! {
    // Guards against a job that is delayed by a worker that does no work.
    short_task_without_progress: 20 % for 2_100 ms, saves false, of 5 s => true;
    task_without_any_progress: 0 % for 2_100 ms, saves false, of 5 s => true;
    // Guards against healthy tasks that are stopped between two lists of their worker.
    task_between_two_worker_lists: 20 % for 1_900 ms, saves true, of 5 s => false;
    // Guards against long tasks that are stopped because one percent of their work takes minutes.
    long_task_within_one_percent: 20 % for 150_000 ms, saves true, of 3600 s => false;
    long_task_that_hangs: 20 % for 300_000 ms, saves true, of 3600 s => true;
    // Guards against work that is discarded although the worker may still resume it.
    task_with_costly_move: 80 % for 4_000 ms, saves false, of 5 s => false;
    task_with_costly_move_that_hangs: 80 % for 6_000 ms, saves false, of 5 s => true;
    task_that_is_done_is_not_stalled: 100 % for 60_000 ms, saves true, of 5 s => false;
}
