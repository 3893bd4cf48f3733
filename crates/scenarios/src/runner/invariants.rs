//! Checks the invariants that must hold in every scenario, and describes each violation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::PoisonError;
use std::time::Duration;

use crate::deployment::Execution;
use crate::platform::Event;
use crate::platform::EventKind;
use crate::platform::longest_partial_run;
use crate::platform::overlapping_attempts;
use crate::runner::Report;
use crate::runner::Run;
use crate::runner::calls::Answer;
use crate::runner::calls::CallRun;
use crate::runner::calls::Repeat;
use crate::script::Action;
use crate::script::Expectation;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_node::jobs::JobRecord;
use nutmegwalk_node::jobs::JobState;

/// Time after a take-out from which no task may start in the data centre.
const START_BOUND: Duration = Duration::from_secs(5);
/// Longest time that a gang may run partially: the gang lease and the steps around it.
const PARTIAL_RUN_BOUND: Duration = Duration::from_secs(11);
/// Maximum number of events printed for one violation.
const MAX_PRINTED_EVENTS: usize = 30;

/// Descriptions of the violations by invariant; every checked invariant has an entry.
pub type Evidence = BTreeMap<&'static str, Vec<String>>;

/// Formats an event as one line.
fn format_event(event: &Event) -> String {
    format!(
        "{:>9.3} s {} {}/{} member {}/{} on {}: {:?}",
        event.at.as_secs_f64(),
        event.job,
        event.attempt.epoch,
        event.attempt.sequence,
        event.member,
        event.gang_size,
        event.worker,
        event.kind
    )
}

/// Formats the last events of a job, one per line.
fn format_job_events(events: &[Event], job: &str) -> String {
    let lines: Vec<String> = events
        .iter()
        .filter(|event| &*event.job == job)
        .map(format_event)
        .collect();
    let skipped = lines.len().saturating_sub(MAX_PRINTED_EVENTS);
    lines[skipped..].join("\n    ")
}

fn overlapping_runs(events: &[Event]) -> Vec<String> {
    overlapping_attempts(events)
        .into_iter()
        .map(|overlap| {
            format!(
                "{overlap:?}\n    {}",
                format_job_events(events, &overlap.job)
            )
        })
        .collect()
}

fn partial_gangs(events: &[Event], now: Duration) -> Vec<String> {
    let jobs: BTreeSet<&str> = events.iter().map(|event| &*event.job).collect();
    let partial = jobs.into_iter().filter_map(|job| {
        let job_events: Vec<Event> = events
            .iter()
            .filter(|event| &*event.job == job)
            .cloned()
            .collect();
        let longest = longest_partial_run(&job_events, now);
        (longest > PARTIAL_RUN_BOUND).then(|| {
            format!(
                "{job} ran partially for {longest:?}\n    {}",
                format_job_events(events, job)
            )
        })
    });
    partial.collect()
}

fn wrong_answers(calls: &[CallRun]) -> Vec<String> {
    let sends = calls
        .iter()
        .flat_map(|call| call.sends.iter().map(move |send| (call, send)));
    sends
        .filter_map(|(call, send)| match &send.answer {
            Some(Answer::Wrong(received)) => Some(format!(
                "{} sent {} and received {received}",
                send.id, call.body
            )),
            _ => None,
        })
        .collect()
}

fn refused_but_executed(calls: &[CallRun], executions: &[Execution]) -> Vec<String> {
    let executed: BTreeMap<&str, &Execution> = executions
        .iter()
        .filter_map(|execution| Some((execution.send.as_deref()?, execution)))
        .collect();
    let sends = calls.iter().flat_map(|call| &call.sends);
    sends
        .filter_map(|send| match (&send.answer, executed.get(&*send.id)) {
            (Some(Answer::NotRun(text)), Some(execution)) => Some(format!(
                "{} was refused with {text}, but was executed on {}",
                send.id, execution.backend
            )),
            _ => None,
        })
        .collect()
}

fn repeated_executions(calls: &[CallRun], executions: &[Execution]) -> Vec<String> {
    let mut by_body: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in executions {
        by_body.entry(&execution.body).or_default().push(execution);
    }
    let never_repeated = calls.iter().filter(|call| call.repeat == Repeat::Never);
    never_repeated
        .filter_map(|call| {
            let runs = by_body.get(&*call.body)?;
            (runs.len() > 1).then(|| {
                format!(
                    "{} was executed as {runs:?}; sends {:?}",
                    call.body, call.sends
                )
            })
        })
        .collect()
}

/// Counts the results of calls other than the caller's own body, and of jobs other than success.
fn unexpected_results(calls: &[CallRun], records: &[JobRecord]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for send in calls.iter().flat_map(|call| &call.sends) {
        if let Some(answer) = send
            .answer
            .as_ref()
            .filter(|answer| **answer != Answer::Own)
        {
            *counts.entry(format!("call {answer:?}")).or_default() += 1;
        }
    }
    for record in records {
        if record.state != JobState::Finished {
            let error = record.error.as_ref().map(ToString::to_string);
            let result = format!("job {:?} {}", record.state, error.unwrap_or_default());
            *counts.entry(result).or_default() += 1;
        }
    }
    counts
}

impl Run {
    /// Checks all invariants and expectations, and returns the report of the run.
    pub(crate) fn report(&self) -> Report {
        let events = self.events();
        let deployment = self.deployment.borrow();
        let now = deployment.platform.now();
        let executions = deployment
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        drop(deployment);
        let records = self.job_records();
        let calls = self.calls.borrow();
        let observations = self.observations.borrow();
        let mut evidence = Evidence::new();
        evidence.insert("job_runs_once", overlapping_runs(&events));
        evidence.insert("gang_whole", partial_gangs(&events, now));
        evidence.insert(
            "no_start_after_take_out",
            self.starts_while_out_of_service(&events, now),
        );
        evidence.insert("jobs_end", self.unended_jobs(&records, &events));
        evidence.insert(
            "reservations_hold",
            observations
                .reservation_violations
                .iter()
                .cloned()
                .collect(),
        );
        evidence.insert("answers_are_the_callers_own", wrong_answers(&calls));
        evidence.insert(
            "not_run_never_ran",
            refused_but_executed(&calls, &executions),
        );
        evidence.insert(
            "never_repeated_runs_once",
            repeated_executions(&calls, &executions),
        );
        evidence.insert("versions_never_fall", self.version_decreases());
        evidence.insert("planned_stop_cuts_no_call", self.interrupted_calls(&calls));
        evidence.insert("changes_in_one_order", self.publish_race_violations());
        let unexpected_results = unexpected_results(&calls, &records);
        drop((calls, observations));
        let mut measures = self.measure(&events, &records, executions.len(), now);
        let mut unmet = self.problems.borrow().clone();
        for expectation in &self.scenario.expectations {
            let Expectation::Metric { name, min, max } = expectation else {
                continue;
            };
            let value = measures.metric(name);
            if !value.is_some_and(|value| value >= *min && value <= *max) {
                unmet.push(format!("{name} is {value:?}, expected {min} to {max}"));
            }
        }
        evidence.insert("as_expected", unmet);
        measures.invariants = evidence
            .iter()
            .map(|(name, violations)| (*name, violations.len() as u64))
            .collect();
        Report {
            measures,
            evidence,
            unexpected_results,
        }
    }

    fn starts_while_out_of_service(&self, events: &[Event], now: Duration) -> Vec<String> {
        let mut starts = Vec::new();
        for period in &self.observations.borrow().out_of_service {
            let (from, to) = (period.from + START_BOUND, period.to.unwrap_or(now));
            let prefix = format!("{}-", period.data_centre);
            let late = events.iter().filter(|event| {
                event.kind == EventKind::Started
                    && event.at > from
                    && event.at < to
                    && event.worker.starts_with(&prefix)
            });
            starts.extend(late.map(|event| format!("{period:?}: {}", format_event(event))));
        }
        starts
    }

    fn unended_jobs(&self, records: &[JobRecord], events: &[Event]) -> Vec<String> {
        let accepted = self.jobs.borrow();
        let accepted = accepted.iter().filter_map(|job| job.id.as_ref());
        let record_of = |id: &str| records.iter().find(|record| &*record.id == id);
        accepted
            .filter_map(|id| match record_of(id) {
                Some(record) if record.state.is_final() => None,
                Some(record) => Some(format!(
                    "{id} is {:?} in {} after {:?}\n    {}",
                    record.state,
                    record.home,
                    self.started.elapsed(),
                    format_job_events(events, id)
                )),
                None => Some(format!("the row of {id} is missing")),
            })
            .collect()
    }

    /// Returns the decreases of versions that restarts do not explain. Each restart of the process, or of the
    /// entry host that reported its version, allows one decrease.
    fn version_decreases(&self) -> Vec<String> {
        let restarts = self.restarts.borrow();
        let mut allowed: BTreeMap<(usize, &str), u32> = BTreeMap::new();
        let observations = self.observations.borrow();
        let unexplained = observations
            .version_decreases
            .iter()
            .filter(|(entry, process, _, _)| {
                let process_restarts = restarts.get(process).copied().unwrap_or(0);
                let entry_restarts = restarts
                    .get(&*format!("entry-{entry}"))
                    .copied()
                    .unwrap_or(0);
                let left = allowed
                    .entry((*entry, process))
                    .or_insert(process_restarts + entry_restarts);
                let is_allowed = *left > 0;
                *left = left.saturating_sub(1);
                !is_allowed
            });
        unexplained
            .map(|decrease| format!("entry host, process, before, after: {decrease:?}"))
            .collect()
    }

    /// Returns calls with an unknown outcome, if the steps include graceful stops or take-outs and no faults.
    fn interrupted_calls(&self, calls: &[CallRun]) -> Vec<String> {
        let actions = || self.scenario.steps.iter().map(|step| &step.action);
        let has_stop = actions().any(|action| {
            matches!(
                action,
                Action::StopAgent(_)
                    | Action::RestartAgent(_)
                    | Action::StopEntry(_)
                    | Action::RestartEntry(_)
                    | Action::StopBackend(_)
                    | Action::TakeOut(_)
            )
        });
        if !has_stop || actions().any(Action::is_fault) {
            return Vec::new();
        }
        let sends = calls.iter().flat_map(|call| &call.sends);
        sends
            .filter_map(|send| match &send.answer {
                Some(Answer::Unknown(text)) => Some(format!("{send:?}: {text}")),
                _ => None,
            })
            .collect()
    }

    /// Returns the races in which more than one publish on the same version succeeded, and publishes that were
    /// refused for another reason than a conflict.
    fn publish_race_violations(&self) -> Vec<String> {
        let results = self.command_results.borrow();
        let mut succeeded: BTreeMap<u64, Vec<&str>> = BTreeMap::new();
        let mut violations = Vec::new();
        for command in results.iter() {
            let Some(based_on) = command.race else {
                continue;
            };
            match &command.result {
                Ok(_) => succeeded
                    .entry(based_on)
                    .or_default()
                    .push(&command.command),
                Err(error) if error.kind == ErrorKind::Conflict => {}
                Err(error) => violations.push(format!("{}: {error}", command.command)),
            }
        }
        for (based_on, commands) in succeeded {
            if commands.len() > 1 {
                violations.push(format!(
                    "{} publishes on version {based_on} succeeded",
                    commands.len()
                ));
            }
        }
        violations
    }
}
