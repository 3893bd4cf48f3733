//! Callers' job requests: submission, status, explanation and cancellation.

use std::rc::Rc;
use std::time::Duration;

use crate::api::JobExplanation;
use crate::api::JobStatus;
use crate::api::Submitted;
use crate::entry::auth::Principal;
use crate::entry::dispatch::DataCentres;
use crate::job_table::JobTable;
use crate::job_table::StoredJob;
use crate::jobs::JobRecord;
use crate::jobs::JobRequest;
use crate::jobs::JobState;
use crate::jobs::UNASSIGNED;
use crate::jobs::unix_ms;
use crate::owner::messages::ExplainRequest;
use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::new_id;
use nutmegwalk_base::secret::token_digest;
use nutmegwalk_net::Client;
use nutmegwalk_sync::View;

/// Timeout of one message to an owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a submission's key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Handles callers' job requests at an entry host.
pub(crate) struct JobApi {
    pub(crate) view: View,
    pub(crate) client: Client,
    pub(crate) jobs: JobTable,
    pub(crate) data_centres: Rc<DataCentres>,
}

impl JobApi {
    /// Accepts a job durably. Submitting the same job with the same key again returns the stored job.
    pub(crate) async fn submit(
        &self,
        customer: CustomerId,
        key: Option<&str>,
        body: &[u8],
    ) -> Result<Submitted> {
        let request: JobRequest = serde_json::from_slice(body).map_err(|error| {
            Error::new(
                ErrorKind::BadRequest,
                format!("the job is malformed: {error}"),
            )
        })?;
        request.check(&customer, &self.view.configuration())?;
        let home = self
            .data_centres
            .choose(&customer, &request)?
            .unwrap_or_else(|| UNASSIGNED.into());
        let record = JobRecord {
            id: job_id(&customer, key)?,
            customer,
            state: JobState::Accepted,
            home,
            checkpoint_ms: 0,
            accepted_unix_ms: unix_ms(),
            ended_unix_ms: None,
            error: None,
            run: None,
            request,
        };
        let stored = self.jobs.accept(&record).await?;
        self.data_centres
            .notify(&stored.record.home, &stored.record.id);
        Ok(Submitted {
            job: stored.record.id,
            borrowed: stored.record.request.guarantee.is_none(),
            data_centre: stored.record.home,
        })
    }

    /// Returns the state of a job.
    pub(crate) async fn status(&self, principal: &Principal, job: &str) -> Result<JobStatus> {
        Ok(to_status(self.read(principal, job).await?.record))
    }

    /// Requests the cancellation of a job; a job that has ended is left unchanged.
    pub(crate) async fn cancel(&self, principal: &Principal, job: &str) -> Result<JobStatus> {
        self.read(principal, job).await?;
        let stored = self.jobs.request_cancel(job).await?;
        self.data_centres.notify(&stored.record.home, job);
        Ok(to_status(stored.record))
    }

    /// Explains the state of a job or the reason why it waits.
    pub(crate) async fn explain(&self, principal: &Principal, job: &str) -> Result<JobExplanation> {
        let record = self.read(principal, job).await?.record;
        let explanation_with = |reason: String| JobExplanation {
            job: job.into(),
            reason: reason.into(),
            borrowed: record.request.guarantee.is_none(),
            ..JobExplanation::default()
        };
        if record.state.is_final() {
            let cause = record
                .error
                .as_ref()
                .map(|error| format!(": {error}"))
                .unwrap_or_default();
            return Ok(explanation_with(format!(
                "has ended as {:?}{cause}",
                record.state
            )));
        }
        if &*record.home == UNASSIGNED {
            return Ok(explanation_with(
                "waits until a suitable data centre is in service".into(),
            ));
        }
        let Some(owner) = self.data_centres.owner_address(&record.home) else {
            return Ok(explanation_with(format!(
                "waits until {} has an owner",
                record.home
            )));
        };
        match self
            .client
            .send(owner, &ExplainRequest { job: job.into() }, OWNER_TIMEOUT)
            .await
        {
            Ok(explanation) => Ok(explanation),
            Err(error) => Ok(explanation_with(format!(
                "is in {}, whose owner returned no explanation: {error}",
                record.home
            ))),
        }
    }

    async fn read(&self, principal: &Principal, job: &str) -> Result<StoredJob> {
        let stored = self.jobs.read(job).await?;
        match principal {
            Principal::Operator(_) => Ok(stored),
            Principal::Customer(customer) if *customer == stored.record.customer => Ok(stored),
            // The same error as for a job that does not exist, so that ids of others cannot be probed.
            Principal::Customer(_) => Err(Error::new(
                ErrorKind::NotFound,
                format!("job `{job}` does not exist"),
            )),
        }
    }
}

/// Returns the id of a job: derived from the customer and the submission's key, or random without a key.
fn job_id(customer: &str, key: Option<&str>) -> Result<JobId> {
    match key {
        None => Ok(new_id("job")),
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(Error::new(
            ErrorKind::BadRequest,
            format!("the key has to have 1 to {MAX_KEY_BYTES} bytes"),
        )),
        Some(key) => {
            Ok(format!("job-{}", &token_digest(&format!("{customer}\n{key}"))[..32]).into())
        }
    }
}

fn to_status(record: JobRecord) -> JobStatus {
    JobStatus {
        job: record.id,
        customer: record.customer,
        state: record.state,
        data_centre: record.home,
        checkpoint_ms: record.checkpoint_ms,
        accepted_unix_ms: record.accepted_unix_ms,
        ended_unix_ms: record.ended_unix_ms,
        error: record.error,
    }
}
