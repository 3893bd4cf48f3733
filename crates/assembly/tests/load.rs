//! Tests of a domain with many hosts under a burst of jobs.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::TestDomain;
use common::gang;
use common::job;
use common::run;

use nutmegwalk_emulator::Event;
use nutmegwalk_emulator::LoggedEvent;
use nutmegwalk_workload::JobState;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { run(|| async $body) })* };
}

/// Number of hosts of the domain.
const HOSTS: usize = 16;
/// Time after the acknowledgement of a cancellation from which no task of the job may start: the age of the owner's
/// view of the jobs, as in [`nutmegwalk_domain::DomainSettings::new`], and the tries of a start that is under way.
const CANCEL_BOUND: Duration = Duration::from_millis(3_200);

/// Returns the starts of a job's tasks after `instant`.
fn starts_after(events: &[LoggedEvent], job: &str, instant: Instant) -> usize {
    events
        .iter()
        .filter(|logged| logged.event == Event::Started && logged.at > instant)
        .filter(|logged| &*logged.run.task.job == job)
        .count()
}

cases! {
    // Guards against an owner that loses track of runs, or that starts cancelled jobs, while many reports, orders and
    // changes of jobs come at once and another owner takes over in the middle.
    burst_with_cancellations_and_a_takeover => {
        let domain = TestDomain::start(HOSTS).await;
        let mut kept = Vec::new();
        let mut cancelled = Vec::new();
        for number in 0..48 {
            let (queue, spec) = match number % 4 {
                0 => ("urgent", gang(2, 150)),
                1 => ("normal", gang(4, 300)),
                _ => ("normal", job(6, 200)),
            };
            let id = format!("job-{number}");
            domain.submit(queue, &id, spec).await;
            if number % 5 == 4 {
                domain.cancel(queue, &id).await;
                cancelled.push((id, Instant::now()));
            } else {
                kept.push((queue, id));
            }
            if number == 24 {
                let owner = domain.owner().expect("the domain has an owner");
                domain.kill_agent(owner);
                domain.start_agent(owner).await;
            }
        }
        for (queue, id) in &kept {
            domain.wait_for_state(queue, id, JobState::Completed).await;
        }
        let events = domain.events.events_from(0);
        for (id, acknowledged_at) in &cancelled {
            let late = starts_after(&events, id, *acknowledged_at + CANCEL_BOUND);
            assert_eq!(late, 0, "{id} started after its cancellation");
        }
        domain.assert_no_violations();
    }
}
