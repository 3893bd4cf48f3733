//! One attempt of a call at one agent.

use std::time::Duration;
use std::time::Instant;

use super::Router;
use super::health::Evidence;
use super::servers::Chosen;
use super::servers::Distance;
use crate::AttemptId;
use crate::BackendAnswer;
use crate::CallMessage;
use crate::CallReply;
use crate::CallRequest;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;

/// Largest part of the deadline that is kept for the way back of the answer.
const LONGEST_RETURN: Duration = Duration::from_millis(50);

/// What distinguishes one attempt from others of the same call.
pub(super) struct AttemptTerms {
    pub(super) attempt: AttemptId,
    pub(super) claimed: bool,
    pub(super) within_rate: bool,
    pub(super) deadline: Instant,
}

impl Router {
    /// Sends one attempt and waits for its answer until the deadline.
    pub(super) async fn attempt(
        &self,
        chosen: &Chosen,
        request: &CallRequest,
        terms: AttemptTerms,
    ) -> Result<BackendAnswer> {
        let server = chosen.server();
        let time_left = terms.deadline.saturating_duration_since(Instant::now());
        // The agent gives up earlier than this host, so that its proof of "not run" still arrives.
        let agent_time = time_left - (time_left / 10).min(LONGEST_RETURN);
        let deadline_ms = u64::try_from(agent_time.as_millis()).unwrap_or(u64::MAX);
        if deadline_ms == 0 {
            return Err(Error::new(
                ErrorKind::DeadlineExceeded,
                "the deadline passed before the call was sent",
            ));
        }
        self.count(|counts| counts.attempts += 1);
        let message = CallMessage {
            request_id: request.request_id.clone(),
            attempt: terms.attempt,
            agent_incarnation: server.entry.agent_incarnation,
            deadline_ms,
            customer: request.customer.clone(),
            service: request.service.clone(),
            within_rate: terms.within_rate,
            claimed: terms.claimed,
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
        };
        let sent = Instant::now();
        let agent = server.entry.agent_address;
        let result = match self.0.client.send(agent, &message, time_left).await {
            Ok(reply) => self.check_reply(chosen, &message, reply),
            Err(error) => Err(error),
        };
        if let Err(error) = &result
            && matches!(error.kind, ErrorKind::NoBackendServer | ErrorKind::Draining)
        {
            server.avoid_until_update();
        }
        self.0
            .servers
            .record(chosen, evidence(&result, sent.elapsed()));
        if server.distance == Distance::OtherRegion {
            self.count_cross_region(request, &result);
        }
        result
    }

    fn check_reply(
        &self,
        chosen: &Chosen,
        message: &CallMessage,
        reply: CallReply,
    ) -> Result<BackendAnswer> {
        let unknown = |detail: &str| Err(Error::new(ErrorKind::UnknownOutcome, detail));
        if reply.attempt != message.attempt {
            return unknown("the agent answered another attempt");
        }
        if reply.server_incarnation == chosen.server().entry.server_incarnation {
            chosen.server().set_load(reply.load);
        }
        match reply.result {
            Ok(answer) if answer.body.len() as u64 != answer.body_bytes => {
                unknown("the answer was cut short")
            }
            result => result,
        }
    }

    fn count_cross_region(&self, request: &CallRequest, result: &Result<BackendAnswer>) {
        let unreachable = matches!(result, Err(error) if error.kind == ErrorKind::Unreachable);
        let sent_bytes = if unreachable { 0 } else { request.body.len() };
        let received_bytes = result.as_ref().map_or(0, |answer| answer.body.len());
        let mut counts = self.0.cross_region_bytes.borrow_mut();
        *counts.entry(request.customer.clone()).or_default() +=
            (sent_bytes + received_bytes) as u64;
    }
}

/// Returns what a result says about the health of the server.
fn evidence(result: &Result<BackendAnswer>, elapsed: Duration) -> Evidence {
    match result {
        Ok(answer) if answer.status >= 500 => Evidence::Failure,
        Ok(_) => Evidence::Answer(elapsed),
        Err(error) if error.kind == ErrorKind::Unreachable => Evidence::Failure,
        Err(error) if error.outcome() == Outcome::NotRun => Evidence::Nothing,
        Err(_) => Evidence::Failure,
    }
}
