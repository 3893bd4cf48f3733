//! Sending of one attempt of a call to an agent.

use std::time::Duration;
use std::time::Instant;

use super::Router;
use super::health::Observation;
use super::servers::Distance;
use super::servers::SelectedServer;
use crate::AttemptId;
use crate::BackendAnswer;
use crate::CallMessage;
use crate::CallReply;
use crate::CallRequest;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;

/// Maximum part of the deadline that is reserved for the return of the answer from the agent.
const MAX_RETURN_TIME: Duration = Duration::from_millis(50);

/// Parameters that differ between the attempts of a call.
pub(super) struct AttemptParams {
    pub(super) attempt: AttemptId,
    pub(super) claimed: bool,
    pub(super) within_rate: bool,
    pub(super) deadline: Instant,
}

impl Router {
    /// Sends one attempt and waits for its answer until the deadline.
    pub(super) async fn attempt(
        &self,
        selected: &SelectedServer,
        request: &CallRequest,
        params: AttemptParams,
    ) -> Result<BackendAnswer> {
        let server = selected.server();
        let time_left = params.deadline.saturating_duration_since(Instant::now());
        // The agent times out earlier than this host, so that its answer "not run" still arrives.
        let agent_timeout = time_left - (time_left / 10).min(MAX_RETURN_TIME);
        let deadline_ms = u64::try_from(agent_timeout.as_millis()).unwrap_or(u64::MAX);
        if deadline_ms == 0 {
            return Err(Error::new(
                ErrorKind::DeadlineExceeded,
                "the deadline passed before the call was sent",
            ));
        }
        self.count(|counts| counts.attempts += 1);
        let message = CallMessage {
            request_id: request.request_id.clone(),
            attempt: params.attempt,
            agent_incarnation: server.entry.agent_incarnation,
            deadline_ms,
            customer: request.customer.clone(),
            service: request.service.clone(),
            within_rate: params.within_rate,
            claimed: params.claimed,
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
        };
        let sent = Instant::now();
        let agent = server.entry.agent_address;
        let result = match self.0.client.send(agent, &message, time_left).await {
            Ok(reply) => self.check_reply(selected, &message, reply),
            Err(error) => Err(error),
        };
        if let Err(error) = &result
            && matches!(error.kind, ErrorKind::NoBackendServer | ErrorKind::Draining)
        {
            server.avoid_until_update();
        }
        self.0
            .servers
            .record(selected, observation(&result, sent.elapsed()));
        if server.distance == Distance::OtherRegion {
            self.count_cross_region(request, &result);
        }
        result
    }

    /// Checks that a reply belongs to the attempt and is complete, and records the load it reports.
    fn check_reply(
        &self,
        selected: &SelectedServer,
        message: &CallMessage,
        reply: CallReply,
    ) -> Result<BackendAnswer> {
        let unknown = |detail: &str| Err(Error::new(ErrorKind::UnknownOutcome, detail));
        if reply.attempt != message.attempt {
            return unknown("the agent's reply belongs to another attempt");
        }
        if reply.server_incarnation == selected.server().entry.server_incarnation {
            selected.server().set_load(reply.load);
        }
        match reply.result {
            Ok(answer) if answer.body.len() as u64 != answer.body_bytes => {
                unknown("the answer of the backend server was truncated")
            }
            result => result,
        }
    }

    /// Counts the bytes that an attempt transferred between regions.
    fn count_cross_region(&self, request: &CallRequest, result: &Result<BackendAnswer>) {
        let unreachable = matches!(result, Err(error) if error.kind == ErrorKind::Unreachable);
        let sent_bytes = if unreachable { 0 } else { request.body.len() };
        let received_bytes = result.as_ref().map_or(0, |answer| answer.body.len());
        let mut counts = self.0.cross_region_bytes.borrow_mut();
        *counts.entry(request.customer.clone()).or_default() +=
            (sent_bytes + received_bytes) as u64;
    }
}

/// Converts the result of an attempt into an observation of the server's health.
fn observation(result: &Result<BackendAnswer>, elapsed: Duration) -> Observation {
    match result {
        Ok(answer) if answer.status >= 500 => Observation::Failure,
        Ok(_) => Observation::Answer(elapsed),
        Err(error) if error.kind == ErrorKind::Unreachable => Observation::Failure,
        Err(error) if error.outcome() == Outcome::NotRun => Observation::Neutral,
        Err(_) => Observation::Failure,
    }
}
