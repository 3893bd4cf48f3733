//! Gangs over all workers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use nutmegwalk_base::JobId;
use nutmegwalk_supervisor::TaskRun;
use nutmegwalk_workload::Occurrence;
use nutmegwalk_workload::Run;
use nutmegwalk_workload::StepIndex;
use nutmegwalk_workload::TaskIndex;

/// Which members of which gangs are on workers; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct GangRegistry {
    gangs: Rc<RefCell<BTreeMap<Key, Gang>>>,
}

type Key = (JobId, Occurrence, StepIndex, Run);

#[derive(Clone, Debug, Default)]
struct Gang {
    members: BTreeSet<TaskIndex>,
    is_broken: bool,
}

fn key_of(run: &TaskRun) -> Key {
    (
        run.task.job.clone(),
        run.task.occurrence,
        run.task.step,
        run.run,
    )
}

impl GangRegistry {
    /// Adds a member.
    pub(crate) fn join(&self, run: &TaskRun) {
        let mut gangs = self.gangs.borrow_mut();
        let gang = gangs.entry(key_of(run)).or_default();
        gang.members.insert(run.task.index);
    }

    /// Notes that a member has ended without being done, which ends the others.
    pub(crate) fn break_up(&self, run: &TaskRun) {
        self.gangs
            .borrow_mut()
            .entry(key_of(run))
            .or_default()
            .is_broken = true;
    }

    /// Returns whether a member of the gang has ended without being done.
    pub(crate) fn is_broken(&self, run: &TaskRun) -> bool {
        let gangs = self.gangs.borrow();
        gangs.get(&key_of(run)).is_some_and(|gang| gang.is_broken)
    }

    /// Returns how many members have come.
    pub(crate) fn count(&self, run: &TaskRun) -> usize {
        let gangs = self.gangs.borrow();
        gangs.get(&key_of(run)).map_or(0, |gang| gang.members.len())
    }
}
