//! Execution of the steps of a scenario.

use std::rc::Rc;
use std::time::Duration;

use log::info;

use crate::deployment::Role;
use crate::platform::StoreFaults;
use crate::platform::WorkerFaults;
use crate::runner::Run;
use crate::runner::STATE_POLL;
use crate::script::Action;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;

/// Time limit of a graceful stop, longer than the drain limit of a role.
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// Number of retries to bind the address of an entry host that has just ended.
const BIND_RETRIES: u32 = 50;

fn not_found(what: &str) -> Error {
    Error::new(ErrorKind::NotFound, what)
}

fn kill(role: Option<Role>) {
    if let Some(role) = role {
        role.kill();
    }
}

impl Run {
    /// Runs all steps in order, until one fails.
    pub(crate) async fn run_steps(self: &Rc<Self>) {
        let scenario = Rc::clone(&self.scenario);
        for step in &scenario.steps {
            self.sleep_until(step.at).await;
            if let Some(state) = &step.after {
                while !self.has_reached(state) {
                    if self.started.elapsed() > scenario.limit {
                        let problem =
                            format!("{:?}: timeout while waiting for {state:?}", step.action);
                        self.problems.borrow_mut().push(problem);
                        return;
                    }
                    compio::time::sleep(STATE_POLL).await;
                }
            }
            compio::time::sleep(step.delay).await;
            info!("step at {:?}: {:?}", self.started.elapsed(), step.action);
            if let Err(error) = self.execute_action(&step.action).await {
                let problem = format!("{:?}: {error}", step.action);
                self.problems.borrow_mut().push(problem);
                return;
            }
        }
    }

    /// Returns the workers that match a pattern.
    fn workers(&self, pattern: &str) -> Result<Vec<WorkerId>> {
        let deployment = self.deployment.borrow();
        let names = deployment.workers().iter().map(|spec| &spec.worker);
        let matching: Vec<WorkerId> = match pattern.strip_suffix('*') {
            Some(prefix) => names
                .filter(|name| name.starts_with(prefix))
                .cloned()
                .collect(),
            None => names.filter(|name| &***name == pattern).cloned().collect(),
        };
        if matching.is_empty() {
            return Err(not_found(&format!("no worker matches `{pattern}`")));
        }
        Ok(matching)
    }

    fn owner(&self, data_centre: &str) -> Result<WorkerId> {
        let holder = self.table().holder(data_centre);
        holder
            .as_deref()
            .and_then(|holder| holder.strip_prefix("agent-"))
            .map(Into::into)
            .ok_or_else(|| not_found(&format!("`{data_centre}` has no owner")))
    }

    fn count_restart(&self, process: &str) {
        *self
            .restarts
            .borrow_mut()
            .entry(process.into())
            .or_default() += 1;
    }

    fn kill_agent(&self, worker: &str) {
        if let Some(agent) = self.deployment.borrow_mut().take_agent(worker) {
            agent.kill();
        }
        self.workers_without_agent
            .borrow_mut()
            .insert(worker.into());
    }

    /// Starts an agent, and restarts its backend server, which gets the agent's new address at its start.
    fn start_agent(&self, worker: &str) -> Result<()> {
        self.count_restart(&format!("agent-{worker}"));
        let mut deployment = self.deployment.borrow_mut();
        if let Some(backend) = deployment.take_backend(worker) {
            backend.kill();
        }
        deployment.start_agent(worker)?;
        deployment.start_backend(worker)?;
        self.workers_without_agent.borrow_mut().remove(worker);
        Ok(())
    }

    async fn stop_role(&self, role: Option<Role>) -> Result<()> {
        let Some(role) = role else { return Ok(()) };
        role.begin_stop();
        let started = std::time::Instant::now();
        while !role.has_ended() {
            if started.elapsed() > STOP_LIMIT {
                let detail = format!("{} did not stop", role.name());
                return Err(Error::new(ErrorKind::Internal, detail));
            }
            compio::time::sleep(STATE_POLL).await;
        }
        Ok(())
    }

    /// Stops a backend server and then its agent, in the order in which an operator stops a host.
    async fn stop_agent(&self, worker: &str) -> Result<()> {
        let backend = self.deployment.borrow_mut().take_backend(worker);
        self.stop_role(backend).await?;
        let agent = self.deployment.borrow_mut().take_agent(worker);
        self.stop_role(agent).await?;
        self.workers_without_agent
            .borrow_mut()
            .insert(worker.into());
        Ok(())
    }

    async fn start_entry(&self, index: usize) -> Result<()> {
        self.count_restart(&format!("entry-{index}"));
        let mut retries = 0;
        loop {
            let started = self.deployment.borrow_mut().start_entry(index);
            match started {
                Err(error) if error.kind == ErrorKind::AddressInUse && retries < BIND_RETRIES => {
                    retries += 1;
                    compio::time::sleep(Duration::from_millis(100)).await;
                }
                result => return result,
            }
        }
    }

    fn set_paused(&self, process: &str, paused: bool) -> Result<()> {
        let deployment = self.deployment.borrow();
        let role = match process.strip_prefix("agent-") {
            Some(worker) => deployment.agent(worker),
            None => process
                .strip_prefix("entry-")
                .and_then(|index| index.parse().ok())
                .and_then(|index| deployment.entry(index)),
        };
        role.ok_or_else(|| not_found(&format!("`{process}` is not running")))?
            .set_paused(paused);
        let mut paused_processes = self.paused.borrow_mut();
        if paused {
            paused_processes.insert(process.into());
        } else {
            paused_processes.remove(process);
        }
        Ok(())
    }

    fn set_store_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        self.deployment.borrow().platform.set_store_faults(change);
    }

    fn set_worker_faults(&self, pattern: &str, change: impl Fn(&mut WorkerFaults)) -> Result<()> {
        for worker in self.workers(pattern)? {
            let deployment = self.deployment.borrow();
            deployment.platform.set_worker_faults(&worker, &change)?;
        }
        Ok(())
    }

    fn set_backend_faults(
        &self,
        pattern: &str,
        change: impl Fn(&mut crate::deployment::BackendFaults),
    ) -> Result<()> {
        for worker in self.workers(pattern)? {
            self.deployment
                .borrow()
                .set_backend_faults(&worker, &change);
        }
        Ok(())
    }

    /// Returns the names of all processes of a region.
    fn processes_in(&self, region: &str) -> Vec<Box<str>> {
        let deployment = self.deployment.borrow();
        let data_centres: Vec<_> = self.scenario.configuration.data_centres.iter().collect();
        let agents = deployment.workers().iter().filter(|spec| {
            let data_centre = self
                .scenario
                .configuration
                .data_centres
                .get(&spec.data_centre);
            data_centre.is_some_and(|data_centre| &*data_centre.region == region)
        });
        let entries = (0..self.scenario.deployment.entries)
            .filter(|index| &*data_centres[index % data_centres.len().max(1)].1.region == region);
        agents
            .map(|spec| format!("agent-{}", spec.worker).into())
            .chain(entries.map(|index| format!("entry-{index}").into()))
            .collect()
    }

    async fn execute_action(self: &Rc<Self>, action: &Action) -> Result<()> {
        match action {
            Action::Wait => {}
            Action::TakeOut(data_centre) => self.take_out(data_centre, 0),
            Action::Return(data_centre) => self.return_to_service(data_centre),
            Action::PublishRace(operators) => self.publish_race(*operators),
            Action::TakeOutRace(data_centre) => self.take_out_race(data_centre),
            Action::CancelAll => self.cancel_all().await,
            Action::Cut(one, other) => {
                self.deployment.borrow().links.set_cut(one, other, true);
                self.partitions
                    .borrow_mut()
                    .push((one.clone(), other.clone()));
            }
            Action::Heal => {
                for (one, other) in self.partitions.take() {
                    self.deployment.borrow().links.set_cut(&one, &other, false);
                }
            }
            Action::StoreDown => self.set_store_faults(|faults| faults.down = true),
            Action::StoreSilent => self.set_store_faults(|faults| faults.unresponsive = true),
            Action::StoreUp => self.set_store_faults(|faults| *faults = StoreFaults::default()),
            Action::StoreLatency(latency_ms) => {
                self.set_store_faults(|faults| faults.latency = Duration::from_millis(*latency_ms));
            }
            Action::StoreLosesAnswers(share) => {
                self.set_store_faults(|faults| faults.lost_answers = *share)
            }
            Action::StoreDownFor(process) => self.set_store_faults(|faults| {
                faults.down_for.insert(process.clone());
            }),
            Action::StoreDownForRegion(region) => {
                let processes = self.processes_in(region);
                self.set_store_faults(|faults| faults.down_for.extend(processes));
            }
            _ => return self.execute_process_action(action).await,
        }
        Ok(())
    }

    async fn execute_process_action(&self, action: &Action) -> Result<()> {
        match action {
            Action::KillOwner(data_centre) => self.kill_agent(&self.owner(data_centre)?),
            Action::PauseOwner(data_centre) => {
                let owner = self.owner(data_centre)?;
                self.set_paused(&format!("agent-{owner}"), true)?;
            }
            Action::Pause(process) => self.set_paused(process, true)?,
            Action::Resume(process) if &**process == "*" => {
                let paused = self.paused.borrow().clone();
                for process in paused {
                    self.set_paused(&process, false)?;
                }
            }
            Action::Resume(process) => self.set_paused(process, false)?,
            Action::KillEntry(index) => {
                let entry = self.deployment.borrow_mut().take_entry(*index);
                kill(entry);
            }
            Action::StopEntry(index) => {
                let entry = self.deployment.borrow_mut().take_entry(*index);
                self.stop_role(entry).await?;
            }
            Action::RestartEntry(index) => {
                let entry = self.deployment.borrow_mut().take_entry(*index);
                self.stop_role(entry).await?;
                self.start_entry(*index).await?;
            }
            Action::RestartAgent(pattern) if &**pattern == "*" => {
                let workers_without_agent = self.workers_without_agent.borrow().clone();
                for worker in workers_without_agent {
                    self.start_agent(&worker)?;
                }
            }
            Action::KillAgent(pattern) => {
                self.workers(pattern)?
                    .iter()
                    .for_each(|worker| self.kill_agent(worker));
            }
            Action::StopAgent(pattern) => {
                for worker in self.workers(pattern)? {
                    self.stop_agent(&worker).await?;
                }
            }
            Action::RestartAgent(pattern) => {
                for worker in self.workers(pattern)? {
                    self.stop_agent(&worker).await?;
                    self.start_agent(&worker)?;
                }
            }
            Action::KillHost(pattern) => {
                for worker in self.workers(pattern)? {
                    let mut deployment = self.deployment.borrow_mut();
                    deployment.platform.kill_worker(&worker)?;
                    kill(deployment.take_backend(&worker));
                    drop(deployment);
                    self.kill_agent(&worker);
                }
            }
            Action::RestartHost(pattern) => {
                for worker in self.workers(pattern)? {
                    self.deployment.borrow().platform.restart_worker(&worker)?;
                    self.start_agent(&worker)?;
                }
            }
            _ => return self.execute_component_action(action).await,
        }
        Ok(())
    }

    async fn execute_component_action(&self, action: &Action) -> Result<()> {
        match action {
            Action::KillWorker(pattern) => {
                for worker in self.workers(pattern)? {
                    self.deployment.borrow().platform.kill_worker(&worker)?;
                }
            }
            Action::RestartWorker(pattern) => {
                for worker in self.workers(pattern)? {
                    self.deployment.borrow().platform.restart_worker(&worker)?;
                }
            }
            Action::WorkerFailsStarts(pattern) => {
                self.set_worker_faults(pattern, |faults| faults.fails_starts = true)?;
            }
            Action::WorkerIgnoresCheckpoint(pattern) => {
                self.set_worker_faults(pattern, |faults| faults.ignores_checkpoint = true)?;
            }
            Action::WorkerSlowCheckpoint(pattern, delay_ms) => {
                let delay = Duration::from_millis(*delay_ms);
                self.set_worker_faults(pattern, |faults| faults.checkpoint_delay = delay)?;
            }
            Action::WorkerHealthy(pattern) => {
                self.set_worker_faults(pattern, |faults| *faults = WorkerFaults::default())?;
            }
            Action::StopBackend(pattern) => {
                for worker in self.workers(pattern)? {
                    let backend = self.deployment.borrow_mut().take_backend(&worker);
                    self.stop_role(backend).await?;
                }
            }
            Action::KillBackend(pattern) => {
                for worker in self.workers(pattern)? {
                    let backend = self.deployment.borrow_mut().take_backend(&worker);
                    kill(backend);
                }
            }
            Action::StartBackend(pattern) => {
                for worker in self.workers(pattern)? {
                    self.deployment.borrow_mut().start_backend(&worker)?;
                }
            }
            Action::BackendSlow(pattern, service_ms) => {
                let time = Duration::from_millis(*service_ms);
                self.set_backend_faults(pattern, |faults| faults.service_time = Some(time))?;
            }
            Action::BackendFails(pattern) => {
                self.set_backend_faults(pattern, |faults| faults.fails = true)?;
            }
            Action::BackendMixesAnswers(pattern) => {
                self.set_backend_faults(pattern, |faults| faults.mixes_answers = true)?;
            }
            Action::BackendHealthy(pattern) => {
                self.set_backend_faults(pattern, |faults| *faults = Default::default())?;
            }
            other => {
                let detail = format!("the runner does not implement {other:?}");
                return Err(Error::new(ErrorKind::Internal, detail));
            }
        }
        Ok(())
    }
}
