//! Tests of the detection of partially running gangs on hand-written event logs.

use std::time::Duration;

use rstest::rstest;

use nutmegwalk_gang::Attempt;
use nutmegwalk_scenarios::platform::Event;
use nutmegwalk_scenarios::platform::EventKind;
use nutmegwalk_scenarios::platform::TaskEnd;
use nutmegwalk_scenarios::platform::longest_partial_run;

fn event(at_s: u64, member: u32, gang_size: usize, kind: EventKind) -> Event {
    Event {
        at: Duration::from_secs(at_s),
        worker: format!("w{member}").into(),
        job: "j".into(),
        customer: "c".into(),
        attempt: Attempt {
            epoch: 1,
            sequence: 1,
        },
        member,
        gang_size,
        borrowed: true,
        progress_ms: 0,
        kind,
    }
}

/// Guards against missing a member that runs alone, because its own events give a gang size of one.
#[rstest]
#[case::other_member_continues(TaskEnd::Stopped, 20)]
#[case::members_finish_one_by_one(TaskEnd::Finished, 0)]
fn partial_runs_are_measured(#[case] lead_end: TaskEnd, #[case] expected_s: u64) {
    let events = [
        event(0, 0, 2, EventKind::Started),
        event(0, 1, 1, EventKind::Started),
        event(10, 0, 2, EventKind::Ended(lead_end)),
        event(30, 1, 1, EventKind::Ended(TaskEnd::Finished)),
    ];
    let longest = longest_partial_run(&events, Duration::from_secs(40));
    assert_eq!(longest, Duration::from_secs(expected_s));
}
