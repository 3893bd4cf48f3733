//! Operators' requests: publish, take-out, return, status and audit.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::api::AuditEntry;
use crate::api::DataCentreRequest;
use crate::api::DataCentreStatus;
use crate::api::ProcessStatus;
use crate::api::PublishRequest;
use crate::api::Published;
use crate::api::Status;
use crate::api::TakenOut;
use crate::entry::dispatch::DataCentres;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::Result;
use nutmegwalk_config::Configuration;
use nutmegwalk_sync::Member;
use nutmegwalk_sync::Membership;
use nutmegwalk_sync::Publisher;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::View;

/// Maximum time for which a take-out waits for confirmations from the data centre's processes.
const CONFIRMATION_WAIT: Duration = Duration::from_secs(5);
/// Maximum number of audit records in one response.
const AUDIT_PAGE: usize = 200;

/// Handles operators' requests at an entry host.
pub(crate) struct OperatorApi {
    pub(crate) view: View,
    pub(crate) membership: Membership,
    pub(crate) publisher: Publisher,
    pub(crate) data_centres: Rc<DataCentres>,
}

impl OperatorApi {
    /// Publishes a configuration if the version that it is based on is still in force.
    pub(crate) async fn publish(&self, operator: &str, body: &[u8]) -> Result<Published> {
        let PublishRequest {
            based_on,
            configuration,
        } = parse(body)?;
        let published = self
            .publisher
            .publish(operator, &configuration, Some(based_on))
            .await?;
        Ok(Published {
            version: published.version,
        })
    }

    /// Returns the current configuration from the table.
    pub(crate) async fn configuration(&self) -> Result<Configuration> {
        Ok(Configuration::clone(&*self.publisher.current().await?))
    }

    /// Takes a data centre out of service and waits up to [`CONFIRMATION_WAIT`] until its processes have
    /// confirmed it.
    pub(crate) async fn take_out(&self, operator: &str, body: &[u8]) -> Result<TakenOut> {
        let DataCentreRequest { data_centre, lost } = parse(body)?;
        let published = self
            .publisher
            .take_out(operator, &data_centre, lost)
            .await?;
        let committed = Instant::now();
        loop {
            let (confirmed, unconfirmed) = self.confirmations(&data_centre, published.version);
            if unconfirmed.is_empty() || committed.elapsed() >= CONFIRMATION_WAIT {
                let permission = SyncTimings::default().max_permission_age;
                return Ok(TakenOut {
                    version: published.version,
                    confirmed,
                    unconfirmed,
                    no_start_after_ms: u64::try_from(permission.as_millis()).unwrap_or(u64::MAX),
                });
            }
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn confirmations(&self, data_centre: &str, version: u64) -> (Vec<ProcessId>, Vec<ProcessId>) {
        let members = self.membership.alive();
        let local = members
            .iter()
            .filter(|member| member.report.data_centre.as_deref() == Some(data_centre));
        let (confirmed, unconfirmed): (Vec<&Member>, Vec<&Member>) =
            local.partition(|member| member.confirmed_version >= version);
        let names = |members: Vec<&Member>| {
            members
                .iter()
                .map(|member| member.report.process.clone())
                .collect()
        };
        (names(confirmed), names(unconfirmed))
    }

    /// Returns a data centre to service.
    pub(crate) async fn return_to_service(&self, operator: &str, body: &[u8]) -> Result<Published> {
        let DataCentreRequest { data_centre, .. } = parse(body)?;
        let published = self
            .publisher
            .return_to_service(operator, &data_centre)
            .await?;
        Ok(Published {
            version: published.version,
        })
    }

    /// Returns the versions in force, the processes and the data centres.
    pub(crate) fn status(&self) -> Status {
        let configuration = self.view.configuration();
        let members = self.membership.alive();
        let processes: Vec<ProcessStatus> = members
            .iter()
            .map(|member| ProcessStatus {
                process: member.report.process.clone(),
                data_centre: member.report.data_centre.clone().unwrap_or_default(),
                version: member.confirmed_version,
                silent_ms: millis(member.last_contact.elapsed()),
            })
            .collect();
        let data_centres = configuration.data_centres.keys().map(|id| {
            let owner = self.data_centres.owner_row(id);
            DataCentreStatus {
                data_centre: id.clone(),
                in_service: !configuration.taken_out.contains_key(id),
                epoch: owner.as_ref().map_or(0, |owner| owner.epoch),
                owner: owner.map(|owner| owner.holder),
                summary: self.data_centres.summary(id),
            }
        });
        Status {
            version: configuration.version,
            view_age_ms: self.view.age().map_or(u64::MAX, millis),
            oldest_version: processes
                .iter()
                .map(|process| process.version)
                .chain([configuration.version])
                .min()
                .unwrap_or(0),
            data_centres: data_centres.collect(),
            processes,
        }
    }

    /// Returns the audit records of changes after the version given in the query.
    pub(crate) async fn audit(&self, query: &str) -> Result<Vec<AuditEntry>> {
        let after = match query.strip_prefix("after=") {
            None if query.is_empty() => 0,
            Some(text) => text.parse().map_err(|_| {
                Error::new(
                    ErrorKind::BadRequest,
                    format!("after: `{text}` is not a version"),
                )
            })?,
            None => {
                return Err(Error::new(
                    ErrorKind::BadRequest,
                    "the query has to be `after=<version>`",
                ));
            }
        };
        let records = self.publisher.audit(after, AUDIT_PAGE).await?;
        let entries = records.into_iter().map(|record| AuditEntry {
            version: record.to,
            from_version: record.from,
            operator: record.by,
            unix_ms: record.at_unix_ms,
            action: record.what,
        });
        Ok(entries.collect())
    }
}

fn parse<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| {
        Error::new(
            ErrorKind::BadRequest,
            format!("the request is malformed: {error}"),
        )
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
