//! Metrics of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dev::mean;
use crate::measures::Measures;
use crate::measures::accelerator_seconds;
use crate::measures::percentile;
use crate::platform::Event;
use crate::platform::EventKind;
use crate::runner::Run;
use crate::runner::calls::Answer;
use nutmegwalk_base::JobId;
use nutmegwalk_node::jobs::JobRecord;
use nutmegwalk_node::jobs::JobState;

#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
fn number(count: usize) -> f64 {
    count as f64
}

impl Run {
    pub(crate) fn measure(
        &self,
        events: &[Event],
        records: &[JobRecord],
        executions: usize,
        now: Duration,
    ) -> Measures {
        let mut measures = Measures {
            scenario: self.scenario.name.clone(),
            seed: self.seed,
            fragmentation_ratio: mean(&self.observations.borrow().fragmentation),
            work_during_take_out_ratio: self.work_during_take_out_ratio(events, records, now),
            ..Measures::default()
        };
        self.measure_jobs(&mut measures, events, records);
        self.measure_calls(&mut measures, executions);
        let observations = self.observations.borrow();
        let commands = self.command_results.borrow();
        let succeeded = commands
            .iter()
            .filter(|command| command.result.is_ok())
            .count();
        let mut add = |name: &str, value: f64| measures.figures.insert(name.into(), value);
        add("cancels_repeated", f64::from(self.cancels_repeated.get()));
        add("version", observations.version as f64);
        add("commands_done", number(succeeded));
        add("commands_refused", number(commands.len() - succeeded));
        add(
            "degraded_guarantees",
            number(observations.degraded_guarantees.len()),
        );
        add("run_s", self.started.elapsed().as_secs_f64());
        measures
    }

    fn measure_jobs(&self, measures: &mut Measures, events: &[Event], records: &[JobRecord]) {
        let jobs = self.jobs.borrow();
        let mut completion = Vec::new();
        for record in records {
            if let (JobState::Finished, Some(ended_ms)) = (record.state, record.ended_unix_ms) {
                let time_ms = ended_ms.saturating_sub(record.accepted_unix_ms);
                completion.push(Duration::from_millis(time_ms).as_secs_f64());
            }
        }
        measures.completion_p50_s = percentile(&mut completion, 0.5);
        measures.completion_p99_s = percentile(&mut completion, 0.99);
        let mut starts: BTreeMap<bool, Vec<f64>> = BTreeMap::new();
        for job in jobs.iter() {
            let Some((id, sent_at)) = job.id.as_ref().zip(job.sent_at) else {
                continue;
            };
            if let Some(started) = gang_start(events, id) {
                let wait = started.saturating_sub(sent_at).as_secs_f64();
                starts.entry(job.borrowed).or_default().push(wait);
            }
        }
        let in_state = |state| records.iter().filter(|job| job.state == state).count();
        let started = events
            .iter()
            .filter(|event| event.kind == EventKind::Started);
        let mut add = |name: &str, value: f64| measures.figures.insert(name.into(), value);
        add("jobs", number(jobs.len()));
        add("jobs_accepted", number(records.len()));
        add("jobs_finished", number(in_state(JobState::Finished)));
        add("jobs_failed", number(in_state(JobState::Failed)));
        add("jobs_cancelled", number(in_state(JobState::Cancelled)));
        add(
            "jobs_refused",
            number(jobs.iter().filter(|job| job.refusal.is_some()).count()),
        );
        add(
            "submissions_repeated",
            jobs.iter().map(|job| job.failed_submissions).sum::<u64>() as f64,
        );
        add("tasks_started", number(started.count()));
        add("jobs_never_started", {
            let started = |id: &JobId| events.iter().any(|event| event.job == *id);
            let unstarted = records.iter().filter(|job| !started(&job.id));
            number(unstarted.count())
        });
        let mut take_starts = |borrowed| starts.remove(&borrowed).unwrap_or_default();
        let (mut guaranteed, mut borrowed) = (take_starts(false), take_starts(true));
        add("guaranteed_start_max_s", percentile(&mut guaranteed, 1.0));
        add("borrowed_start_p50_s", percentile(&mut borrowed, 0.5));
        add("borrowed_start_max_s", percentile(&mut borrowed, 1.0));
    }

    fn measure_calls(&self, measures: &mut Measures, executions: usize) {
        let calls = self.calls.borrow();
        if calls.is_empty() {
            return;
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut by_customer: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        let mut latencies_ms = Vec::new();
        for call in calls.iter() {
            for send in &call.sends {
                let name = match &send.answer {
                    Some(Answer::Own) => "calls_answered",
                    Some(Answer::Failed(_) | Answer::Wrong(_)) => "calls_failed",
                    Some(Answer::NotRun(_)) => "calls_not_run",
                    Some(Answer::Unknown(_)) | None => "calls_unknown",
                };
                *counts.entry(name).or_default() += 1;
                let customer = by_customer.entry(&call.customer).or_default();
                customer.1 += 1;
                if send.answer == Some(Answer::Own) {
                    customer.0 += 1;
                    latencies_ms.extend(send.latency.map(|latency| latency.as_secs_f64() * 1000.0));
                }
            }
        }
        let mut add = |name: &str, value: f64| measures.figures.insert(name.into(), value);
        add("calls", number(calls.len()));
        for name in [
            "calls_answered",
            "calls_failed",
            "calls_not_run",
            "calls_unknown",
        ] {
            add(name, number(counts.get(name).copied().unwrap_or(0)));
        }
        add("calls_executed", number(executions));
        add("call_p50_ms", percentile(&mut latencies_ms, 0.5));
        add("call_p99_ms", percentile(&mut latencies_ms, 0.99));
        for (customer, (answered, sent)) in by_customer {
            let share = number(answered) / number(sent);
            add(&format!("answered_share.{customer}"), share);
        }
    }

    /// Returns the work done while a data centre was out of service, as a share of the capacity of the
    /// accelerators in the other data centres.
    fn work_during_take_out_ratio(
        &self,
        events: &[Event],
        records: &[JobRecord],
        now: Duration,
    ) -> f64 {
        let accelerators: BTreeMap<JobId, u32> = records
            .iter()
            .map(|job| (job.id.clone(), job.request.shape.accelerators))
            .collect();
        let (mut work, mut possible) = (0.0, 0.0);
        for period in &self.observations.borrow().out_of_service {
            let to = period.to.unwrap_or(now);
            let others = self.scenario.configuration.data_centres.iter();
            let remaining: u32 = others
                .filter(|(name, _)| **name != period.data_centre)
                .flat_map(|(_, site)| site.racks.values())
                .map(|rack| rack.workers * rack.shape.accelerators)
                .sum();
            work += accelerator_seconds(events, &accelerators, period.from, to);
            possible += to.saturating_sub(period.from).as_secs_f64() * f64::from(remaining);
        }
        if possible > 0.0 { work / possible } else { 0.0 }
    }
}

/// Returns the earliest time at which all members of a job had been started in one attempt.
fn gang_start(events: &[Event], job: &str) -> Option<Duration> {
    let mut started: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    for event in events {
        if &*event.job == job && event.kind == EventKind::Started {
            let key = (event.attempt.epoch, event.attempt.sequence);
            let count = started.entry(key).or_default();
            *count += 1;
            if *count == event.gang_size {
                return Some(event.at);
            }
        }
    }
    None
}
