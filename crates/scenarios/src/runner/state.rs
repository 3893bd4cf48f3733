//! Whether a state is reached.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::platform::Event;
use crate::platform::EventKind;
use crate::runner::Run;
use crate::script::State;
use nutmegwalk_base::JobId;
use nutmegwalk_node::jobs::JobRecord;
use nutmegwalk_node::jobs::JobState;

/// Members of one attempt of a gang that run.
#[derive(Default)]
struct Gang<'a> {
    tasks: BTreeSet<(u32, &'a str)>,
    size: usize,
}

fn gangs(events: &[Event]) -> Vec<Gang<'_>> {
    let mut gangs: BTreeMap<(&str, u64, u64), Gang<'_>> = BTreeMap::new();
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
    /// Returns the rows of the accepted jobs.
    pub(crate) fn records(&self) -> Vec<JobRecord> {
        let ids: Vec<JobId> = self
            .jobs
            .borrow()
            .iter()
            .filter_map(|job| job.id.clone())
            .collect();
        self.table().jobs(&ids).into_iter().flatten().collect()
    }

    /// Returns the log of the platform, with the size of each gang as it was submitted.
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

    fn is_busy(&self, data_centre: &str) -> bool {
        let prefix = format!("{data_centre}-");
        gangs(&self.events())
            .iter()
            .flat_map(|gang| &gang.tasks)
            .any(|(_, worker)| worker.starts_with(&prefix))
    }

    /// Returns whether `state` is reached now.
    pub(crate) fn has_reached(&self, state: &State) -> bool {
        match state {
            State::JobsAccepted(count) => {
                let jobs = self.jobs.borrow();
                jobs.iter().filter(|job| job.id.is_some()).count() >= *count
            }
            State::JobsRunning(count) => {
                let events = self.events();
                let whole = gangs(&events)
                    .iter()
                    .filter(|gang| !gang.tasks.is_empty() && gang.tasks.len() == gang.size)
                    .count();
                whole >= *count
            }
            State::JobsEnded(count) => {
                let ended = self
                    .records()
                    .iter()
                    .filter(|job| job.state.is_final())
                    .count();
                ended >= *count
            }
            State::JobsFinished(count) => {
                let records = self.records();
                let finished = records.iter().filter(|job| job.state == JobState::Finished);
                finished.count() >= *count
            }
            State::AllJobsEnded => {
                let jobs = self.jobs.borrow();
                let answered = jobs
                    .iter()
                    .all(|job| job.id.is_some() || job.refusal.is_some());
                drop(jobs);
                answered && self.records().iter().all(|job| job.state.is_final())
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
                sends.any(|send| send.answer.is_none() && send.sent < now)
            }
            State::AllCallsAnswered => {
                let calls = self.calls.borrow();
                let mut sends = calls.iter().flat_map(|call| &call.sends);
                sends.all(|send| send.answer.is_some())
            }
            State::Owned(data_centre) => self.watch.borrow().is_owned(data_centre),
            State::InForce(version) => self.watch.borrow().is_in_force(*version),
            State::Empty(data_centre) => !self.is_busy(data_centre),
            State::Busy(data_centre) => self.is_busy(data_centre),
            State::Workers(count) => self.watch.borrow().workers() >= *count,
            State::FreeAtMost(count) => {
                let watch = self.watch.borrow();
                watch.workers() > 0 && watch.free_accelerators() <= *count
            }
            State::OperatorsAnswered => self.operators_busy.get() == 0,
        }
    }
}
