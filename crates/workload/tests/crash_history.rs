//! Tests of the evidence that a task crashes the workers that start it.

use nutmegwalk_workload::CrashHistory;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::StepSpec;
use nutmegwalk_workload::UnitId;
use nutmegwalk_workload::WorkerRef;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

fn worker(number: u64) -> WorkerRef {
    WorkerRef {
        id: format!("i-{number}").into(),
        born_unix_ms: number,
        machine: None,
    }
}

/// Returns the history of a unit of which task `tasks[k]` lost a run with the crash of worker `k`, beside others.
fn history(tasks: &[u32]) -> CrashHistory {
    let mut history = CrashHistory::default();
    for (number, task) in (0..).zip(tasks) {
        history.record_lost(*task, &worker(number), false);
        history.record_crash(&worker(number));
    }
    history
}

fn unit() -> UnitId {
    UnitId {
        job: "a".into(),
        occurrence: 0,
        step: 0,
        task: Some(0),
    }
}

cases! {
    // Guards against a task that is blamed for a host or link that is gone.
    lost_run_without_a_crash_is_no_evidence => {
        let mut history = CrashHistory::default();
        for number in 0..5 {
            history.record_lost(0, &worker(number), true);
        }
        assert_eq!(history.risk(), CrashRisk::Low);
        assert!(!history.is_exhausted());
    }

    // Guards against a crash that is not counted because the run was ended before by the lapse of the lease.
    crash_counts_a_run_that_was_lost_before => {
        let mut history = CrashHistory::default();
        history.record_lost(0, &worker(1), false);
        history.record_lost(0, &worker(2), false);
        assert!(history.record_crash(&worker(1)));
        assert_eq!(history.crashes(), 1);
    }

    // Guards against one crash that is counted again for each report or owner.
    crash_of_a_worker_counts_once => {
        let mut history = history(&[0]);
        history.record_lost(0, &worker(0), false);
        assert!(!history.record_crash(&worker(0)));
        assert_eq!(history.crashes(), 1);
    }

    // Guards against a worker's crash that is held against tasks that it did not run.
    crash_of_another_worker_is_no_evidence => {
        let mut history = CrashHistory::default();
        history.record_lost(0, &worker(1), true);
        assert!(!history.record_crash(&worker(2)));
        assert_eq!(history.crashes(), 0);
    }

    // Guards against giving up tasks that ran twice beside one that crashes its workers.
    two_crashes_beside_others_raise_the_risk_only => {
        assert_eq!(history(&[0]).risk(), CrashRisk::Raised);
        assert_eq!(history(&[0, 0]).risk(), CrashRisk::High);
        assert!(!history(&[0, 0]).is_exhausted());
    }

    // Guards against a further start after three workers have crashed.
    three_crashes_exhaust_a_unit => {
        assert!(history(&[0, 0, 0]).is_exhausted());
    }

    // Guards against a third crash under a task that has crashed a worker that ran nothing else.
    second_crash_of_a_task_that_ran_alone_exhausts_a_unit => {
        let mut history = history(&[0]);
        history.record_lost(0, &worker(7), true);
        history.record_crash(&worker(7));
        assert!(history.is_exhausted());
    }

    // Guards against giving up a task because the first worker that crashed under it had no other run.
    one_crash_of_a_task_that_ran_alone_is_no_proof => {
        let mut history = CrashHistory::default();
        history.record_lost(0, &worker(7), true);
        history.record_crash(&worker(7));
        assert!(!history.is_exhausted());
    }

    // Guards against giving up a gang because several of its workers crashed at once, each under another task.
    crashes_under_different_tasks_are_not_added_up => {
        let history = history(&[0, 1, 2, 3]);
        assert_eq!(history.crashes(), 1);
        assert!(!history.is_exhausted());
    }

    // Guards against a history that a new owner does not find, and against rows that grow without a crash.
    history_is_stored_with_the_progress_once_there_is_one => {
        let spec = JobSpec {
            steps: vec![StepSpec { tasks: 1, ..StepSpec::default() }],
            ..JobSpec::default()
        };
        let mut progress = JobProgress::new();
        progress.start_run(&spec, &unit(), vec![worker(1)]);
        let encode = |progress: &JobProgress| progress.summary_row(&spec).expect("progress");
        let before = encode(&progress);
        assert!(!before.contains("crash") && !before.contains("lost"));
        let lost = progress.crash_history_mut(&spec, &unit()).expect("a started unit");
        lost.record_lost(0, &worker(1), false);
        let row = encode(&progress);
        let mut read = JobProgress::from_rows(&spec, &row, []).expect("progress");
        assert_eq!(read.record_crash("a", &spec, &worker(1)), vec![unit()]);
        assert_eq!(read.crash_risk(&unit()), CrashRisk::Raised);
    }
}
