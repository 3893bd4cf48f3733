//! Tests of the evidence that a task crashes the workers that start it.

use nutmegwalk_workload::CrashHistory;
use nutmegwalk_workload::CrashRisk;
use nutmegwalk_workload::Doubt;
use nutmegwalk_workload::JobProgress;
use nutmegwalk_workload::JobSpec;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::StartCrash;
use nutmegwalk_workload::StepSpec;
use nutmegwalk_workload::TaskIndex;
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

/// Returns the crash of worker `run`, which had just started run `run` of a task.
fn crash(task: TaskIndex, run: Run) -> StartCrash {
    StartCrash {
        task,
        run,
        worker: worker(run.into()),
        doubt: Doubt::None,
    }
}

/// Returns the history of a unit that crashed its worker with each of `runs` of its first task.
fn history(runs: std::ops::RangeInclusive<Run>) -> CrashHistory {
    let mut history = CrashHistory::default();
    for run in runs {
        history.record_crash(crash(0, run));
    }
    history
}

fn spec() -> JobSpec {
    JobSpec {
        steps: vec![StepSpec {
            tasks: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    }
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
    // Guards against one crash that is counted again for each report or owner.
    crash_of_a_run_counts_once => {
        let mut history = history(1..=1);
        assert!(!history.record_crash(crash(0, 1)));
        assert_eq!(history.crash_count(), 1);
    }

    // Guards against giving up tasks that have started twice on workers that crashed by coincidence.
    two_crashes_raise_the_risk_only => {
        assert_eq!(history(1..=1).risk(), CrashRisk::Raised);
        assert_eq!(history(1..=2).risk(), CrashRisk::High);
        assert!(!history(1..=2).is_exhausted());
    }

    // Guards against a task that crashes worker after worker.
    third_crash_in_a_row_exhausts_a_unit => {
        assert!(history(1..=3).is_exhausted());
    }

    // Guards against giving up tasks that started beside others, any of which may have crashed the worker.
    crashes_that_may_have_another_reason_do_not_exhaust_a_unit => {
        let mut history = history(1..=2);
        for run in 3..100 {
            history.record_crash(StartCrash { doubt: Doubt::NoTrial, ..crash(0, run) });
        }
        assert_eq!(history.risk(), CrashRisk::High);
        assert!(!history.is_exhausted());
        history.record_crash(crash(0, 100));
        assert!(history.is_exhausted());
    }

    // Guards against giving up a task that has worked between the crashes of its workers.
    run_that_outlives_its_start_disproves_earlier_crashes => {
        let mut history = history(1..=2);
        assert!(history.record_outlived(0, 3));
        assert_eq!(history.risk(), CrashRisk::Low);
        history.record_crash(crash(0, 4));
        history.record_crash(crash(0, 5));
        assert!(!history.is_exhausted());
    }

    // Guards against a repeated report that brings a disproved crash back, and against one that arrives late.
    disproved_crash_does_not_count_again => {
        let mut history = history(1..=1);
        history.record_outlived(0, 3);
        assert!(!history.record_crash(crash(0, 1)));
        assert!(!history.record_crash(crash(0, 2)));
        assert!(history.is_empty());
    }

    // Guards against a run that outlived its start on one worker and is said to disprove the crash of a later run.
    run_does_not_disprove_a_later_crash => {
        let mut history = history(4..=4);
        assert!(!history.record_outlived(0, 3));
        assert_eq!(history.crash_count(), 1);
    }

    // Guards against giving up tasks when the workers of a data centre crash together again and again.
    crashes_with_a_common_cause_do_not_exhaust_a_unit => {
        let mut history = history(1..=2);
        assert!(history.record_common_cause(&worker(1)));
        assert!(!history.record_common_cause(&worker(1)));
        assert!(!history.record_common_cause(&worker(7)));
        history.record_crash(crash(0, 3));
        assert_eq!(history.conclusive_count(), 2);
        assert!(!history.is_exhausted());
    }

    // Guards against a task that crashes worker after worker while the workers around it crash for other reasons.
    fourth_trial_in_a_row_exhausts_a_unit_whatever_crashes_around_it => {
        let mut history = CrashHistory::default();
        for run in 1..=3 {
            history.record_crash(StartCrash { doubt: Doubt::CommonCause, ..crash(0, run) });
        }
        assert!(!history.is_exhausted());
        history.record_crash(StartCrash { doubt: Doubt::CommonCause, ..crash(0, 4) });
        assert!(history.is_exhausted());
    }

    // Guards against a job that is given up because all workers crash soon after the time at which it starts there.
    each_crash_asks_for_a_worker_that_has_been_up_for_longer => {
        let times: Vec<u64> = (0..5)
            .map(|crashes| history(1..=crashes).settling_time(crashes + 1).as_secs())
            .collect();
        assert_eq!(times, [2, 2, 4, 6, 8]);
    }

    // Guards against a crash under one member of a gang that is no trial any more since another member has crashed its
    // worker at the same run.
    crashes_at_a_run_do_not_ask_for_longer_lives_of_its_workers => {
        let mut history = history(1..=2);
        history.record_crash(crash(1, 3));
        let before = history.settling_time(3);
        history.record_crash(crash(0, 3));
        assert_eq!(history.settling_time(3), before);
        assert!(history.settling_time(4) > before);
    }

    // Guards against giving up a gang because several of its workers crashed at once, each under another task.
    crashes_under_different_tasks_are_not_added_up => {
        let mut history = CrashHistory::default();
        for task in 0..4 {
            history.record_crash(crash(task, 1));
        }
        assert_eq!(history.crash_count(), 1);
        assert!(!history.is_exhausted());
    }

    // Guards against a member of a gang that crashes its workers and is excused by another member that does not.
    member_of_a_gang_does_not_disprove_crashes_of_another => {
        let mut history = history(1..=2);
        assert!(!history.record_outlived(1, 3));
        history.record_crash(crash(0, 3));
        assert!(history.is_exhausted());
    }

    // Guards against evidence against a run that was never started.
    crash_of_an_unknown_run_is_no_evidence => {
        let (spec, mut progress) = (spec(), JobProgress::new());
        assert!(!progress.record_start_crash(&spec, &unit(), crash(0, 1)));
        progress.start_run(&spec, &unit(), vec![worker(1)]);
        assert!(!progress.record_start_crash(&spec, &unit(), crash(0, 2)));
        assert!(progress.record_start_crash(&spec, &unit(), crash(0, 1)));
    }

    // Guards against a history that a new owner does not find, and against rows that grow without a crash.
    history_is_stored_with_the_progress_once_there_is_one => {
        let (spec, mut progress) = (spec(), JobProgress::new());
        progress.start_run(&spec, &unit(), vec![worker(1)]);
        let encode = |progress: &JobProgress| progress.summary_row(&spec).expect("progress");
        assert!(!encode(&progress).contains("crash") && !encode(&progress).contains("disproved"));
        progress.record_start_crash(&spec, &unit(), crash(0, 1));
        let row = encode(&progress);
        let mut read = JobProgress::from_rows(&spec, &row, []).expect("progress");
        assert!(!read.record_start_crash(&spec, &unit(), crash(0, 1)));
        assert_eq!(read.crash_risk(&unit()), CrashRisk::Raised);
    }

    // Guards against an owner of this release that believes what an earlier one held against a job.
    evidence_of_earlier_releases_is_not_believed => {
        let row = r#"{"state":"running","parts":[[0,0,0,{"workers":[{"id":"i-1","born_unix_ms":1}],
            "units":[{"index":0,"run":2,"crashes":[[0,0,true]],"lost":[[0,0,true]]}]}]]}"#;
        let read = JobProgress::from_rows(&spec(), row, []).expect("progress");
        assert_eq!(read.unit(&unit()).map(|unit| unit.last_run), Some(2));
        assert_eq!(read.crash_risk(&unit()), CrashRisk::Low);
    }
}
