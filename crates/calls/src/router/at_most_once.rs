//! Calls that run at most once: each attempt is claimed in the table before it is sent.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use super::RetryState;
use super::Router;
use super::attempt::AttemptParams;
use super::servers::SelectedServer;
use crate::BackendAnswer;
use crate::CallRequest;
use crate::Claims;
use crate::CloseAnswer;
use crate::CloseMessage;
use crate::claims::ClaimResult;
use crate::claims::HeldClaim;
use crate::claims::PendingClaim;
use crate::claims::StoredClaim;
use crate::new_attempt_id;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;

/// Time after the deadline for which the last step may continue, so that its own time limit applies first.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);
/// Minimum timeout of a close request to an agent.
const MIN_CLOSE_TIMEOUT: Duration = Duration::from_millis(10);

/// Context of one call.
struct ClaimedCall<'a> {
    claims: &'a Claims,
    request: &'a CallRequest,
    key: &'a str,
    deadline: Instant,
    attempts: &'a Cell<u32>,
    within_rate: bool,
    /// Whether the first claim is being written, which means that no attempt was sent.
    is_writing_first_claim: Cell<bool>,
}

/// Next step of a call.
enum Step {
    /// Sends the attempt of a claim that this entry host holds to the selected server.
    Send(HeldClaim, SelectedServer),
    /// Determines the outcome of a claim that another submission has written to the table.
    Resolve(StoredClaim),
}

impl Router {
    /// Makes a call that runs at most once over all submissions with the same key.
    pub(super) async fn call_at_most_once(
        &self,
        request: &CallRequest,
        key: &str,
        deadline: Instant,
        attempts: &Cell<u32>,
    ) -> Result<BackendAnswer> {
        let claims = self.0.claims.as_ref().ok_or_else(|| {
            Error::new(
                ErrorKind::StoreUnavailable,
                "this entry host has no store for claims",
            )
        })?;
        claims.check_key(key)?;
        let mut call = ClaimedCall {
            claims,
            request,
            key,
            deadline,
            attempts,
            within_rate: false,
            is_writing_first_claim: Cell::new(false),
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let admitted = match self.admit(request, deadline).await {
            Ok((admitted, within_rate)) => {
                call.within_rate = within_rate;
                Ok(admitted)
            }
            Err(error) => Err(error),
        };
        let steps = async {
            match &admitted {
                Ok(_) => self.run_steps(&call).await,
                Err(error) => self.refuse(&call, error.clone()).await,
            }
        };
        // Requests to the store and to the agent have their own time limits; this one covers all steps.
        match compio::time::timeout(time_left + DEADLINE_MARGIN, steps).await {
            Ok(result) => result,
            Err(_) if call.is_writing_first_claim.get() => Err(claim_write_error(&Error::new(
                ErrorKind::StoreUnavailable,
                "the deadline passed while the claim was written",
            ))),
            Err(_) => Err(unknown_outcome(
                "the deadline passed before the outcome of the claim was determined",
            )),
        }
    }

    /// Refuses a call that cannot be sent, unless an earlier submission of it ran or may have run.
    async fn refuse(&self, call: &ClaimedCall<'_>, refusal: Error) -> Result<BackendAnswer> {
        let mut found = call
            .claims
            .find(call.request, call.key, call.deadline)
            .await
            .map_err(|error| unknown_outcome(&error.detail))?;
        while let Some(stored) = found {
            match self.determine_outcome(call, stored).await? {
                ClaimOutcome::Answer(answer) => return Ok(answer),
                ClaimOutcome::NotRun(stored) => {
                    let released = call.claims.release(stored, call.deadline).await;
                    found = released.map_err(|error| unknown_outcome(&error.detail))?;
                }
                ClaimOutcome::Newer(newer) => found = Some(newer),
            }
        }
        Err(refusal)
    }

    /// Claims and sends the call until it is answered or refused.
    async fn run_steps(&self, call: &ClaimedCall<'_>) -> Result<BackendAnswer> {
        let mut retries = RetryState::new(false);
        let mut step = match self.select_server(call.request, &[], call.deadline) {
            Ok(selected) => self.write_first_claim(call, selected).await?,
            Err(error) => return self.refuse(call, error).await,
        };
        loop {
            step = match step {
                Step::Send(held, selected) => {
                    match self
                        .send_attempt(call, held, selected, &mut retries)
                        .await?
                    {
                        StepResult::Done(answer) => return Ok(answer),
                        StepResult::Next(step) => step,
                    }
                }
                Step::Resolve(stored) => match self.resolve_claim(call, stored).await? {
                    StepResult::Done(answer) => return Ok(answer),
                    StepResult::Next(step) => step,
                },
            };
            if Instant::now() >= call.deadline {
                return Err(unknown_outcome(
                    "the deadline passed before the outcome of the claim was determined",
                ));
            }
        }
    }

    /// Writes the first claim of the call.
    async fn write_first_claim(
        &self,
        call: &ClaimedCall<'_>,
        selected: SelectedServer,
    ) -> Result<Step> {
        call.is_writing_first_claim.set(true);
        let claimed = call
            .claims
            .claim(
                call.request,
                call.key,
                self.new_pending_claim(&selected),
                call.deadline,
            )
            .await
            .map_err(|error| claim_write_error(&error))?;
        call.is_writing_first_claim.set(false);
        Ok(next_step(claimed, selected))
    }

    /// Returns a claim for a new attempt at the selected server.
    fn new_pending_claim(&self, selected: &SelectedServer) -> PendingClaim {
        let entry = &selected.server().entry;
        PendingClaim {
            attempt: new_attempt_id(),
            agent: entry.agent_address,
            incarnation: entry.agent_incarnation,
        }
    }

    /// Sends the attempt of a held claim and records its answer, or prepares the next step.
    async fn send_attempt(
        &self,
        call: &ClaimedCall<'_>,
        held: HeldClaim,
        selected: SelectedServer,
        retries: &mut RetryState,
    ) -> Result<StepResult> {
        let params = AttemptParams {
            attempt: held.pending().attempt.clone(),
            claimed: true,
            within_rate: call.within_rate,
            deadline: call.deadline,
        };
        call.attempts.set(call.attempts.get() + 1);
        let mut error = match self.attempt(&selected, call.request, params).await {
            Ok(answer) => {
                call.claims.complete(held, answer.clone());
                return Ok(StepResult::Done(answer));
            }
            Err(error) => error,
        };
        if error.outcome() != Outcome::NotRun {
            // The agent continues a claimed attempt when the connection to the entry host is lost.
            match self.close(held.pending(), call.deadline).await {
                Some(CloseAnswer::Finished(answer)) => {
                    call.claims.complete(held, answer.clone());
                    return Ok(StepResult::Done(answer));
                }
                Some(CloseAnswer::NotStarted) => {
                    error = Error::new(ErrorKind::AttemptClosed, error.detail);
                }
                Some(CloseAnswer::Unknown) | None => return Err(error),
            }
        }
        // A closed attempt is not a failure of the server: a duplicate of the call at another entry host is
        // about to take over the claim, and one of the two must continue. The retry budget does not apply.
        let is_retried = match error.kind {
            ErrorKind::AttemptClosed => {
                retries.record_failure(&selected, &error)
                    && retries.attempts_made < self.0.settings.max_attempts
            }
            _ => {
                self.prepare_retry(retries, &selected, &error, call.deadline)
                    .await
            }
        };
        if is_retried
            && let Ok(next) = self.select_server(call.request, &retries.tried, call.deadline)
        {
            let claimed = call
                .claims
                .take_over(
                    held.into_stored(),
                    self.new_pending_claim(&next),
                    call.deadline,
                )
                .await
                .map_err(|error| unknown_outcome(&error.detail))?;
            return Ok(StepResult::Next(next_step(claimed, next)));
        }
        if error.kind == ErrorKind::AttemptClosed {
            // The duplicate may be running the request already.
            return Ok(StepResult::Next(Step::Resolve(held.into_stored())));
        }
        self.release(call, held.into_stored(), error).await
    }

    /// Releases a claim whose attempt provably did not run, and refuses the call with `error`.
    async fn release(
        &self,
        call: &ClaimedCall<'_>,
        stored: StoredClaim,
        error: Error,
    ) -> Result<StepResult> {
        match call.claims.release(stored, call.deadline).await {
            Ok(None) => Err(error),
            Ok(Some(newer)) => Ok(StepResult::Next(Step::Resolve(newer))),
            // Another entry host may have taken over the claim and may be running the request.
            Err(store_error) => Err(unknown_outcome(&store_error.detail)),
        }
    }

    /// Determines the outcome of a claim that was found in the table and the step that follows.
    async fn resolve_claim(
        &self,
        call: &ClaimedCall<'_>,
        stored: StoredClaim,
    ) -> Result<StepResult> {
        match self.determine_outcome(call, stored).await? {
            ClaimOutcome::Answer(answer) => Ok(StepResult::Done(answer)),
            ClaimOutcome::NotRun(stored) => self.take_over(call, stored).await,
            ClaimOutcome::Newer(newer) => Ok(StepResult::Next(Step::Resolve(newer))),
        }
    }

    /// Determines the outcome of a claim of an earlier submission.
    async fn determine_outcome(
        &self,
        call: &ClaimedCall<'_>,
        stored: StoredClaim,
    ) -> Result<ClaimOutcome> {
        call.claims.check_same_request(&stored, call.request)?;
        if let Some(answer) = call.claims.stored_answer(&stored).await? {
            return Ok(ClaimOutcome::Answer(answer));
        }
        let Some(pending) = stored.pending() else {
            return Ok(ClaimOutcome::NotRun(stored));
        };
        match self.close(pending, call.deadline).await {
            Some(CloseAnswer::Finished(answer)) => {
                call.claims.complete_stored(stored, answer.clone());
                Ok(ClaimOutcome::Answer(answer))
            }
            Some(CloseAnswer::NotStarted) => Ok(ClaimOutcome::NotRun(stored)),
            Some(CloseAnswer::Unknown) | None => {
                // The claim may have been completed since the row was read.
                let read = call.claims.read_again(&stored, call.deadline).await;
                match read {
                    Ok(Some(newer)) if newer.version() != stored.version() => {
                        Ok(ClaimOutcome::Newer(newer))
                    }
                    _ => Err(unknown_outcome(
                        "the outcome of an earlier attempt is unknown",
                    )),
                }
            }
        }
    }

    /// Replaces a claim whose attempt provably did not run by a claim for a new attempt.
    async fn take_over(&self, call: &ClaimedCall<'_>, stored: StoredClaim) -> Result<StepResult> {
        let selected = match self.select_server(call.request, &[], call.deadline) {
            Ok(selected) => selected,
            Err(error) => return self.release(call, stored, error).await,
        };
        let claimed = call
            .claims
            .take_over(stored, self.new_pending_claim(&selected), call.deadline)
            .await
            .map_err(|error| unknown_outcome(&error.detail))?;
        Ok(StepResult::Next(next_step(claimed, selected)))
    }

    /// Closes an attempt at its agent; returns `None` when the agent sent no complete answer.
    async fn close(&self, pending: &PendingClaim, deadline: Instant) -> Option<CloseAnswer> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_left = time_left.max(MIN_CLOSE_TIMEOUT);
        let wait_ms = (time_left * 9 / 10).as_millis();
        let message = CloseMessage {
            attempt: pending.attempt.clone(),
            agent_incarnation: pending.incarnation,
            wait_ms: u64::try_from(wait_ms).unwrap_or(u64::MAX),
        };
        let answer = self.0.client.send(pending.agent, &message, time_left).await;
        match answer {
            Ok(CloseAnswer::Finished(answer)) if answer.body.len() as u64 != answer.body_bytes => {
                None
            }
            answer => answer.ok(),
        }
    }
}

/// Outcome of a claim of an earlier submission.
enum ClaimOutcome {
    /// The request ran.
    Answer(BackendAnswer),
    /// The attempt provably did not run.
    NotRun(StoredClaim),
    /// The claim was changed in the meantime; this is the newer version.
    Newer(StoredClaim),
}

/// Result of a step.
enum StepResult {
    /// The call is answered.
    Done(BackendAnswer),
    /// Another step follows.
    Next(Step),
}

/// Returns the step that follows the attempt to write a claim for the selected server.
fn next_step(claimed: ClaimResult, selected: SelectedServer) -> Step {
    match claimed {
        ClaimResult::Held(held) => Step::Send(held, selected),
        ClaimResult::Exists(stored) => Step::Resolve(stored),
    }
}

/// Returns the error for a submission whose claim could not be written.
///
/// This submission did not run. The key identifies one request over all its submissions, though, and
/// without the table it is unknown whether an earlier submission ran, so the outcome is not `not_run`.
fn claim_write_error(error: &Error) -> Error {
    if error.kind != ErrorKind::StoreUnavailable {
        return error.clone();
    }
    let detail = format!(
        "this submission did not run, but an earlier one with the same key may have run: {}",
        error.detail
    );
    Error::new(ErrorKind::StoreUnknown, detail)
}

fn unknown_outcome(detail: &str) -> Error {
    Error::new(ErrorKind::UnknownOutcome, detail)
}
