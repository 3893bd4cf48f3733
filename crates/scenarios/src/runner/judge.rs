//! Judges the invariants that hold in every scenario, with what shows each violation.

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
use crate::runner::calls::Mark;
use crate::script::Action;
use crate::script::Expectation;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_node::jobs::JobRecord;
use nutmegwalk_node::jobs::JobState;

/// Time after a take-out from which no task may start in the data centre.
const START_BOUND: Duration = Duration::from_secs(5);
/// Gang lease and the steps around it: the longest time that a part of a gang may run alone.
const PARTIAL_RUN_BOUND: Duration = Duration::from_secs(11);
/// Events printed for one violation.
const EVENTS_SHOWN: usize = 30;

/// What shows the violations, by invariant; every invariant that was judged has an entry.
pub type Evidence = BTreeMap<&'static str, Vec<String>>;

fn show(event: &Event) -> String {
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

fn show_job(events: &[Event], job: &str) -> String {
    let own: Vec<String> = events
        .iter()
        .filter(|event| &*event.job == job)
        .map(show)
        .collect();
    let skipped = own.len().saturating_sub(EVENTS_SHOWN);
    own[skipped..].join("\n    ")
}

fn jobs_run_once(events: &[Event]) -> Vec<String> {
    overlapping_attempts(events)
        .into_iter()
        .map(|overlap| format!("{overlap:?}\n    {}", show_job(events, &overlap.job)))
        .collect()
}

fn gangs_whole(events: &[Event], now: Duration) -> Vec<String> {
    let jobs: BTreeSet<&str> = events.iter().map(|event| &*event.job).collect();
    let partial = jobs.into_iter().filter_map(|job| {
        let own: Vec<Event> = events
            .iter()
            .filter(|event| &*event.job == job)
            .cloned()
            .collect();
        let longest = longest_partial_run(&own, now);
        (longest > PARTIAL_RUN_BOUND).then(|| {
            format!(
                "part of {job} ran alone for {longest:?}\n    {}",
                show_job(events, job)
            )
        })
    });
    partial.collect()
}

fn calls_own_body(calls: &[CallRun]) -> Vec<String> {
    let sends = calls
        .iter()
        .flat_map(|call| call.sends.iter().map(move |send| (call, send)));
    sends
        .filter_map(|(call, send)| match &send.answer {
            Some(Answer::Wrong(got)) => Some(format!("{} asked {}, got {got}", send.id, call.body)),
            _ => None,
        })
        .collect()
}

fn not_run_never_ran(calls: &[CallRun], executions: &[Execution]) -> Vec<String> {
    let ran: BTreeMap<&str, &Execution> = executions
        .iter()
        .filter_map(|execution| Some((execution.send.as_deref()?, execution)))
        .collect();
    let sends = calls.iter().flat_map(|call| &call.sends);
    sends
        .filter_map(|send| match (&send.answer, ran.get(&*send.id)) {
            (Some(Answer::NotRun(text)), Some(execution)) => Some(format!(
                "{} was refused with {text}, but ran on {}",
                send.id, execution.backend
            )),
            _ => None,
        })
        .collect()
}

fn never_runs_once(calls: &[CallRun], executions: &[Execution]) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in executions {
        runs.entry(&execution.body).or_default().push(execution);
    }
    let marked = calls.iter().filter(|call| call.mark == Mark::Never);
    marked
        .filter_map(|call| {
            let runs = runs.get(&*call.body)?;
            (runs.len() > 1)
                .then(|| format!("{} ran as {runs:?}; sends {:?}", call.body, call.sends))
        })
        .collect()
}

/// Counts what calls and jobs came to other than their own answer and their finish.
fn other_ends(calls: &[CallRun], records: &[JobRecord]) -> BTreeMap<String, u64> {
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
            let end = format!("job {:?} {}", record.state, error.unwrap_or_default());
            *counts.entry(end).or_default() += 1;
        }
    }
    counts
}

impl Run {
    /// Judges the whole run.
    pub(crate) fn judge(&self) -> Report {
        let events = self.events();
        let deployment = self.deployment.borrow();
        let now = deployment.platform.now();
        let executions = deployment
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        drop(deployment);
        let records = self.records();
        let calls = self.calls.borrow();
        let watch = self.watch.borrow();
        let mut evidence = Evidence::new();
        evidence.insert("job_runs_once", jobs_run_once(&events));
        evidence.insert("gang_whole", gangs_whole(&events, now));
        evidence.insert(
            "no_start_after_take_out",
            self.starts_while_out(&events, now),
        );
        evidence.insert("jobs_end", self.jobs_that_did_not_end(&records, &events));
        evidence.insert(
            "reservations_hold",
            watch.reservations.iter().cloned().collect(),
        );
        evidence.insert("answers_are_the_callers_own", calls_own_body(&calls));
        evidence.insert("not_run_never_ran", not_run_never_ran(&calls, &executions));
        evidence.insert(
            "never_repeated_runs_once",
            never_runs_once(&calls, &executions),
        );
        evidence.insert("versions_never_fall", self.falls());
        evidence.insert("planned_stop_cuts_no_call", self.cut_calls(&calls));
        evidence.insert("changes_in_one_order", self.conflicting_changes());
        let other_ends = other_ends(&calls, &records);
        drop((calls, watch));
        let mut measures = self.measure(&events, &records, executions.len(), now);
        let mut expected = self.problems.borrow().clone();
        for expectation in &self.scenario.expectations {
            let Expectation::Figure { name, min, max } = expectation else {
                continue;
            };
            let value = measures.figure(name);
            if !value.is_some_and(|value| value >= *min && value <= *max) {
                expected.push(format!("{name} is {value:?}, expected {min} to {max}"));
            }
        }
        evidence.insert("as_expected", expected);
        measures.invariants = evidence
            .iter()
            .map(|(name, found)| (*name, found.len() as u64))
            .collect();
        Report {
            measures,
            evidence,
            other_ends,
        }
    }

    fn starts_while_out(&self, events: &[Event], now: Duration) -> Vec<String> {
        let mut starts = Vec::new();
        for out in &self.watch.borrow().out {
            let (from, to) = (out.from + START_BOUND, out.to.unwrap_or(now));
            let prefix = format!("{}-", out.data_centre);
            let late = events.iter().filter(|event| {
                event.kind == EventKind::Started
                    && event.at > from
                    && event.at < to
                    && event.worker.starts_with(&prefix)
            });
            starts.extend(late.map(|event| format!("{out:?}: {}", show(event))));
        }
        starts
    }

    fn jobs_that_did_not_end(&self, records: &[JobRecord], events: &[Event]) -> Vec<String> {
        let accepted = self.jobs.borrow();
        let accepted = accepted.iter().filter_map(|job| job.id.as_ref());
        let ended = |id: &str| records.iter().find(|record| &*record.id == id);
        accepted
            .filter_map(|id| match ended(id) {
                Some(record) if record.state.is_final() => None,
                Some(record) => Some(format!(
                    "{id} is {:?} in {} after {:?}\n    {}",
                    record.state,
                    record.home,
                    self.started.elapsed(),
                    show_job(events, id)
                )),
                None => Some(format!("the row of {id} is lost")),
            })
            .collect()
    }

    /// Returns falls of versions beyond one for each restart of the process or of who showed it.
    fn falls(&self) -> Vec<String> {
        let restarts = self.restarts.borrow();
        let mut allowed: BTreeMap<(usize, &str), u32> = BTreeMap::new();
        let watch = self.watch.borrow();
        let falls = watch.falls.iter().filter(|(entry, process, _, _)| {
            let of_process = restarts.get(process).copied().unwrap_or(0);
            let of_entry = restarts
                .get(&*format!("entry-{entry}"))
                .copied()
                .unwrap_or(0);
            let left = allowed
                .entry((*entry, process))
                .or_insert(of_process + of_entry);
            let is_restart = *left > 0;
            *left = left.saturating_sub(1);
            !is_restart
        });
        falls
            .map(|fall| format!("entry host, process, before, after: {fall:?}"))
            .collect()
    }

    /// Returns calls without a known outcome, when there were planned stops and no faults.
    fn cut_calls(&self, calls: &[CallRun]) -> Vec<String> {
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

    /// Returns publishes of one race that succeeded beside another one on the same version, and refusals
    /// for another reason than the conflict.
    fn conflicting_changes(&self) -> Vec<String> {
        let answers = self.operator_answers.borrow();
        let mut winners: BTreeMap<u64, Vec<&str>> = BTreeMap::new();
        let mut found = Vec::new();
        for answer in answers.iter() {
            let Some(based_on) = answer.race else {
                continue;
            };
            match &answer.result {
                Ok(_) => winners.entry(based_on).or_default().push(&answer.command),
                Err(error) if error.kind == ErrorKind::Conflict => {}
                Err(error) => found.push(format!("{}: {error}", answer.command)),
            }
        }
        for (based_on, commands) in winners {
            if commands.len() > 1 {
                found.push(format!(
                    "{} publishes on version {based_on}",
                    commands.len()
                ));
            }
        }
        found
    }
}
