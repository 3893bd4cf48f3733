//! Evaluation of states of the system, the load and the platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::platform::Event;
use crate::platform::EventKind;
use crate::runner::Run;
use crate::script::State;
use nutmegwalk_base::JobId;
use nutmegwalk_node::jobs::JobRecord;
use nutmegwalk_node::jobs::JobState;

/// Running members of one attempt of a gang.
#[derive(Default)]
struct RunningGang<'a> {
    tasks: BTreeSet<(u32, &'a str)>,
    size: usize,
}

fn running_gangs(events: &[Event]) -> Vec<RunningGang<'_>> {
    let mut gangs: BTreeMap<(&str, u64, u64), RunningGang<'_>> = BTreeMap::new();
    for event in events {
        let key = (&*event.job, event.attempt.epoch, event.attempt.sequence);
        let gang = gangs.entry(key).or_default();
        gang.size = event.gang_size;
        let task = (event.member, &*event.worker);
        match event.kind {
            EventKind::Started => gang.tasks.insert(task),
            EventKind::Ended(_) => gang.tasks.remove(&task),
        };
    }
    gangs.into_values().collect()
}

impl Run {
    /// Returns the records of the accepted jobs from the table.
    pub(crate) fn job_records(&self) -> Vec<JobRecord> {
        let ids: Vec<JobId> = self
            .jobs
            .borrow()
            .iter()
            .filter_map(|job| job.id.clone())
            .collect();
        self.table().jobs(&ids).into_iter().flatten().collect()
    }

    /// Returns the event log of the platform, with the size of each gang as submitted.
    pub(crate) fn events(&self) -> Vec<Event> {
        let jobs = self.jobs.borrow();
        let sizes: BTreeMap<&JobId, usize> = jobs
            .iter()
            .filter_map(|job| Some((job.id.as_ref()?, job.request.tasks as usize)))
            .collect();
        let mut events = self.deployment.borrow().platform.events();
        for event in &mut events {
            if let Some(size) = sizes.get(&event.job) {
                event.gang_size = *size;
            }
        }
        events
    }

    fn has_running_tasks(&self, data_centre: &str) -> bool {
        let prefix = format!("{data_centre}-");
        running_gangs(&self.events())
            .iter()
            .flat_map(|gang| &gang.tasks)
            .any(|(_, worker)| worker.starts_with(&prefix))
    }

    /// Returns whether `state` currently holds.
    pub(crate) fn has_reached(&self, state: &State) -> bool {
        match state {
            State::JobsAccepted(count) => {
                let jobs = self.jobs.borrow();
                jobs.iter().filter(|job| job.id.is_some()).count() >= *count
            }
            State::JobsRunning(count) => {
                let events = self.events();
                let complete = running_gangs(&events)
                    .iter()
                    .filter(|gang| !gang.tasks.is_empty() && gang.tasks.len() == gang.size)
                    .count();
                complete >= *count
            }
            State::JobsEnded(count) => {
                let ended = self
                    .job_records()
                    .iter()
                    .filter(|job| job.state.is_final())
                    .count();
                ended >= *count
            }
            State::JobsFinished(count) => {
                let records = self.job_records();
                let finished = records.iter().filter(|job| job.state == JobState::Finished);
                finished.count() >= *count
            }
            State::AllJobsEnded => {
                let jobs = self.jobs.borrow();
                let submitted = jobs
                    .iter()
                    .all(|job| job.id.is_some() || job.refusal.is_some());
                drop(jobs);
                submitted && self.job_records().iter().all(|job| job.state.is_final())
            }
            State::CallsAnswered(count) => {
                let calls = self.calls.borrow();
                let sends = calls.iter().flat_map(|call| &call.sends);
                sends.filter(|send| send.answer.is_some()).count() >= *count
            }
            State::CallInFlight => {
                let calls = self.calls.borrow();
                let now = self.started.elapsed();
                let mut sends = calls.iter().flat_map(|call| &call.sends);
                sends.any(|send| send.answer.is_none() && send.sent_at < now)
            }
            State::AllCallsAnswered => {
                let calls = self.calls.borrow();
                let mut sends = calls.iter().flat_map(|call| &call.sends);
                sends.all(|send| send.answer.is_some())
            }
            State::Owned(data_centre) => self.observations.borrow().is_owned(data_centre),
            State::InForce(version) => self.observations.borrow().is_in_force(*version),
            State::Empty(data_centre) => !self.has_running_tasks(data_centre),
            State::Busy(data_centre) => self.has_running_tasks(data_centre),
            State::Workers(count) => self.observations.borrow().workers() >= *count,
            State::FreeAtMost(count) => {
                let observations = self.observations.borrow();
                observations.workers() > 0 && observations.free_accelerators() <= *count
            }
            State::OperatorsAnswered => self.pending_commands.get() == 0,
        }
    }
}
