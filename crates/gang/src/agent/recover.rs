//! Recovery of an agent's state after its restart.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use log::info;

use super::GangAgent;
use super::state::AttemptKey;
use super::state::Gang;
use super::state::Phase;
use crate::MemberSpec;
use crate::TaskStatus;
use crate::messages::Bind;
use nutmegwalk_base::Result;

impl GangAgent {
    /// Reads the worker's task list and rejoins the gangs in it, as their lead where this agent was the
    /// lead. The agent refuses all requests before this has succeeded.
    ///
    /// # Errors
    /// Those of [`WorkerApi::list`](crate::WorkerApi::list).
    pub async fn recover(&self) -> Result<()> {
        let requested_at = Instant::now();
        let list = self.with_step_timeout(self.shared.worker.list()).await?;
        let mut gangs: BTreeMap<AttemptKey, Vec<&TaskStatus>> = BTreeMap::new();
        for status in &list {
            let key = (status.metadata.job.clone(), status.metadata.attempt);
            gangs.entry(key).or_default().push(status);
        }
        for (key, tasks) in gangs {
            self.rejoin(&key, requested_at, &list, &tasks);
        }
        self.shared.state.borrow_mut().recovered = true;
        Ok(())
    }

    fn rejoin(
        &self,
        key: &AttemptKey,
        requested_at: Instant,
        list: &[TaskStatus],
        tasks: &[&TaskStatus],
    ) {
        if self.shared.state.borrow().gangs.contains_key(key) {
            return;
        }
        info!(
            "job {} attempt {:?}: rejoining the gang with {} tasks",
            key.0,
            key.1,
            tasks.len()
        );
        let members = tasks
            .iter()
            .map(|status| MemberSpec {
                member: status.metadata.member,
                cores: status.metadata.cores,
                memory_mb: status.metadata.memory_mb,
                accelerators: status.metadata.accelerators,
            })
            .collect();
        // The last renewal was before the restart, so the remaining lease is unknown. The worker stops the
        // tasks when their leases lapse, which is never later than this.
        let until = requested_at + self.timings().lease;
        let held_until = Instant::now() + self.timings().lease;
        let mut gang = Gang::new(members, Phase::Running { until, held_until });
        gang.update_tasks(key, list);
        let bind = tasks.iter().min_by_key(|status| status.metadata.member);
        let bind = bind.map(|status| {
            let metadata = &status.metadata;
            Rc::new(Bind {
                job: key.0.clone(),
                attempt: key.1,
                epoch: key.1.epoch,
                agents: metadata.agents.clone(),
                customer: metadata.customer.clone(),
                borrowed: metadata.borrowed,
                payload: metadata.payload.clone(),
                checkpoint_ms: metadata.checkpoint_ms,
            })
        });
        gang.bind = bind.clone();
        let is_lead = gang.members.iter().any(|spec| spec.member == 0);
        {
            let mut state = self.shared.state.borrow_mut();
            state.gangs.insert(key.clone(), gang);
            state.sequence += 1;
        }
        self.watch_expiry(key.clone());
        if let Some(bind) = bind.filter(|_| is_lead) {
            self.resume_as_lead(key.clone(), &bind);
        }
    }
}
