//! Operator commands that steps issue.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use log::info;

use crate::deployment::ApiClient;
use crate::runner::Run;
use nutmegwalk_base::ConfigVersion;
use nutmegwalk_base::Error;
use nutmegwalk_base::Result;
use nutmegwalk_config::Configuration;

/// Delay before a failed cancellation is retried.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Result of an operator command.
#[derive(Clone, Debug)]
pub(crate) struct CommandResult {
    pub(crate) command: Box<str>,
    pub(crate) result: Result<ConfigVersion, Error>,
    /// For a publish of a race: the version that all publishes of the race are based on.
    pub(crate) race: Option<u64>,
}

impl Run {
    /// Executes a command in the background, so that it does not delay the following steps.
    fn spawn_command<F: Future<Output = Result<ConfigVersion>> + 'static>(
        self: &Rc<Self>,
        command: String,
        race: Option<u64>,
        execution: F,
    ) {
        self.pending_commands.set(self.pending_commands.get() + 1);
        let run = Rc::clone(self);
        compio::runtime::spawn(async move {
            let result = execution.await;
            info!("{command}: {result:?}");
            run.command_results.borrow_mut().push(CommandResult {
                command: command.into(),
                result,
                race,
            });
            run.pending_commands.set(run.pending_commands.get() - 1);
        })
        .detach();
    }

    fn entry(&self, index: usize) -> ApiClient {
        self.operator.clone().with_first_entry(index)
    }

    pub(crate) fn take_out(self: &Rc<Self>, data_centre: &str, entry: usize) {
        let (api, name) = (self.entry(entry), data_centre.to_owned());
        let command = format!("take-out {name}");
        self.spawn_command(command, None, async move {
            Ok(api.take_out(&name).await?.version)
        });
    }

    pub(crate) fn return_to_service(self: &Rc<Self>, data_centre: &str) {
        let (api, name) = (self.entry(0), data_centre.to_owned());
        let command = format!("return {name}");
        self.spawn_command(command, None, async move {
            Ok(api.return_to_service(&name).await?.version)
        });
    }

    /// Concurrently publishes different changes on top of the same version through all entry hosts.
    pub(crate) fn publish_race(self: &Rc<Self>, operators: usize) {
        let based_on = self.table().version();
        for index in 0..operators {
            let mut configuration: Configuration = self.scenario.configuration.clone();
            for service in configuration.services.values_mut() {
                // Each operator sets a value that no other operator and no earlier version has.
                service.deadline_ms += based_on * 100 + 1 + index as u64;
            }
            let api = self.entry(index);
            self.spawn_command(
                format!("publish on {based_on}"),
                Some(based_on),
                async move { Ok(api.publish(&configuration, based_on).await?.version) },
            );
        }
    }

    /// Takes a data centre out through all entry hosts, concurrently with a publish race.
    pub(crate) fn take_out_race(self: &Rc<Self>, data_centre: &str) {
        for entry in 0..self.scenario.deployment.entries {
            self.take_out(data_centre, entry);
        }
        self.publish_race(self.scenario.deployment.entries);
    }

    /// Cancels every accepted job that has not ended; failed cancellations are retried through other entry hosts.
    pub(crate) async fn cancel_all(&self) {
        let open = self
            .job_records()
            .into_iter()
            .filter(|job| !job.state.is_final());
        let cancels = open.enumerate().map(|(index, job)| async move {
            let mut turn = index;
            while let Err(error) = self.entry(turn).cancel(&job.id).await {
                info!(job = &*job.id; "the cancellation failed: {error}");
                if self.started.elapsed() > self.scenario.limit {
                    let problem = format!("{} cannot be cancelled: {error}", job.id);
                    self.problems.borrow_mut().push(problem);
                    return;
                }
                turn += 1;
                self.cancels_repeated.set(self.cancels_repeated.get() + 1);
                compio::time::sleep(CANCEL_RETRY_DELAY).await;
            }
        });
        join_all(cancels).await;
    }
}
