//! Registry of the gangs on all emulated workers.

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

/// Members of each gang that have started on any worker; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct GangRegistry {
    gangs: Rc<RefCell<BTreeMap<GangKey, Gang>>>,
}

type GangKey = (JobId, Occurrence, StepIndex, Run);

#[derive(Clone, Debug, Default)]
struct Gang {
    members: BTreeSet<TaskIndex>,
    is_broken: bool,
}

fn gang_key(run: &TaskRun) -> GangKey {
    (
        run.task.job.clone(),
        run.task.occurrence,
        run.task.step,
        run.run,
    )
}

impl GangRegistry {
    /// Adds a run to its gang as a member.
    pub(crate) fn add_member(&self, run: &TaskRun) {
        let mut gangs = self.gangs.borrow_mut();
        let gang = gangs.entry(gang_key(run)).or_default();
        gang.members.insert(run.task.index);
    }

    /// Marks the gang as broken because a member ended without success; this ends the other members.
    pub(crate) fn mark_broken(&self, run: &TaskRun) {
        self.gangs
            .borrow_mut()
            .entry(gang_key(run))
            .or_default()
            .is_broken = true;
    }

    /// Returns whether a member of the gang has ended without success.
    pub(crate) fn is_broken(&self, run: &TaskRun) -> bool {
        let gangs = self.gangs.borrow();
        gangs.get(&gang_key(run)).is_some_and(|gang| gang.is_broken)
    }

    /// Returns the number of members that have started.
    pub(crate) fn member_count(&self, run: &TaskRun) -> usize {
        let gangs = self.gangs.borrow();
        gangs
            .get(&gang_key(run))
            .map_or(0, |gang| gang.members.len())
    }
}
