//! Calls that run at most once.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use super::Retries;
use super::Router;
use super::attempt::AttemptTerms;
use super::servers::Chosen;
use crate::BackendAnswer;
use crate::CallRequest;
use crate::Claims;
use crate::CloseAnswer;
use crate::CloseMessage;
use crate::claims::Claimed;
use crate::claims::HeldClaim;
use crate::claims::PendingClaim;
use crate::claims::StoredClaim;
use crate::new_attempt_id;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Outcome;
use nutmegwalk_base::Result;

/// Time after the deadline in which the last step may still end by its own limit.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);
/// Shortest time that is left for asking an agent about an attempt.
const SHORTEST_CLOSE: Duration = Duration::from_millis(10);

/// The fixed parts of one call.
struct Once<'a> {
    claims: &'a Claims,
    request: &'a CallRequest,
    key: &'a str,
    deadline: Instant,
    attempts: &'a Cell<u32>,
    within_rate: bool,
    /// Whether the first claim is being written, so that nothing can have been sent.
    is_opening: Cell<bool>,
}

/// What follows from a step.
enum Step {
    /// This host holds a claim for the chosen server and has to send the attempt.
    Send(HeldClaim, Chosen),
    /// Somebody else's claim is in the table.
    Resolve(StoredClaim),
}

impl Router {
    pub(super) async fn call_once(
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
        let mut once = Once {
            claims,
            request,
            key,
            deadline,
            attempts,
            within_rate: false,
            is_opening: Cell::new(false),
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let admitted = match self.admit(request, deadline).await {
            Ok((admitted, within_rate)) => {
                once.within_rate = within_rate;
                Ok(admitted)
            }
            Err(error) => Err(error),
        };
        let settled = async {
            match &admitted {
                Ok(_) => self.settle(&once).await,
                Err(error) => self.refuse(&once, error.clone()).await,
            }
        };
        // The store and the agent have limits of their own; this one covers all steps together.
        match compio::time::timeout(time_left + DEADLINE_MARGIN, settled).await {
            Ok(result) => result,
            Err(_) if once.is_opening.get() => Err(unclaimed(&Error::new(
                ErrorKind::StoreUnavailable,
                "the deadline passed while the claim was written",
            ))),
            Err(_) => Err(unknown("the deadline passed while the claim was settled")),
        }
    }

    /// Refuses a call that was not admitted, unless an earlier submission of it has run.
    async fn refuse(&self, once: &Once<'_>, refusal: Error) -> Result<BackendAnswer> {
        let mut found = once
            .claims
            .find(once.request, once.key, once.deadline)
            .await
            .map_err(|error| unknown(&error.detail))?;
        while let Some(stored) = found {
            match self.learn(once, stored).await? {
                Learned::Answer(answer) => return Ok(answer),
                Learned::NotRun(stored) => {
                    let released = once.claims.release(stored, once.deadline).await;
                    found = released.map_err(|error| unknown(&error.detail))?;
                }
                Learned::Newer(newer) => found = Some(newer),
            }
        }
        Err(refusal)
    }

    async fn settle(&self, once: &Once<'_>) -> Result<BackendAnswer> {
        let mut retries = Retries::new(false);
        let mut step = match self.choose(once.request, &[], once.deadline) {
            Ok(chosen) => self.open(once, chosen).await?,
            Err(error) => return self.refuse(once, error).await,
        };
        loop {
            step = match step {
                Step::Send(held, chosen) => {
                    match self.send_once(once, held, chosen, &mut retries).await? {
                        Sent::Done(answer) => return Ok(answer),
                        Sent::Next(step) => step,
                    }
                }
                Step::Resolve(stored) => match self.resolve(once, stored).await? {
                    Sent::Done(answer) => return Ok(answer),
                    Sent::Next(step) => step,
                },
            };
            if Instant::now() >= once.deadline {
                return Err(unknown("the deadline passed while the claim was settled"));
            }
        }
    }

    async fn open(&self, once: &Once<'_>, chosen: Chosen) -> Result<Step> {
        once.is_opening.set(true);
        let claimed = once
            .claims
            .open(
                once.request,
                once.key,
                self.claimant(&chosen),
                once.deadline,
            )
            .await
            .map_err(|error| unclaimed(&error))?;
        once.is_opening.set(false);
        Ok(step(claimed, chosen))
    }

    fn claimant(&self, chosen: &Chosen) -> PendingClaim {
        let entry = &chosen.server().entry;
        PendingClaim {
            attempt: new_attempt_id(),
            agent: entry.agent_address,
            incarnation: entry.agent_incarnation,
        }
    }

    async fn send_once(
        &self,
        once: &Once<'_>,
        held: HeldClaim,
        chosen: Chosen,
        retries: &mut Retries,
    ) -> Result<Sent> {
        let terms = AttemptTerms {
            attempt: held.pending().attempt.clone(),
            claimed: true,
            within_rate: once.within_rate,
            deadline: once.deadline,
        };
        once.attempts.set(once.attempts.get() + 1);
        let mut error = match self.attempt(&chosen, once.request, terms).await {
            Ok(answer) => {
                once.claims.complete(held, answer.clone());
                return Ok(Sent::Done(answer));
            }
            Err(error) => error,
        };
        if error.outcome() != Outcome::NotRun {
            // The agent goes on with a claimed attempt when the link to it breaks.
            match self.close(held.pending(), once.deadline).await {
                Some(CloseAnswer::Finished(answer)) => {
                    once.claims.complete(held, answer.clone());
                    return Ok(Sent::Done(answer));
                }
                Some(CloseAnswer::NotStarted) => {
                    error = Error::new(ErrorKind::AttemptClosed, error.detail);
                }
                Some(CloseAnswer::Unknown) | None => return Err(error),
            }
        }
        // A closed attempt is no failure of the server: a duplicate at another entry host is about to
        // take the claim over, and one of the two has to go on.
        let goes_on = match error.kind {
            ErrorKind::AttemptClosed => {
                retries.note(&chosen, &error) && retries.made < self.0.settings.max_attempts
            }
            _ => {
                self.may_retry(retries, &chosen, &error, once.deadline)
                    .await
            }
        };
        if goes_on && let Ok(next) = self.choose(once.request, &retries.tried, once.deadline) {
            let claimed = once
                .claims
                .take_over(held.into_stored(), self.claimant(&next), once.deadline)
                .await
                .map_err(|error| unknown(&error.detail))?;
            return Ok(Sent::Next(step(claimed, next)));
        }
        if error.kind == ErrorKind::AttemptClosed {
            // The duplicate may be running the request by now.
            return Ok(Sent::Next(Step::Resolve(held.into_stored())));
        }
        self.release(once, held.into_stored(), error).await
    }

    /// Gives up a claim whose attempt was proved not to have run, and refuses the call with `error`.
    async fn release(&self, once: &Once<'_>, stored: StoredClaim, error: Error) -> Result<Sent> {
        match once.claims.release(stored, once.deadline).await {
            Ok(None) => Err(error),
            Ok(Some(newer)) => Ok(Sent::Next(Step::Resolve(newer))),
            // Another entry host may have taken the claim over and may be running the request.
            Err(store_error) => Err(unknown(&store_error.detail)),
        }
    }

    /// Acts on a claim that was found in the table.
    async fn resolve(&self, once: &Once<'_>, stored: StoredClaim) -> Result<Sent> {
        match self.learn(once, stored).await? {
            Learned::Answer(answer) => Ok(Sent::Done(answer)),
            Learned::NotRun(stored) => self.take_over(once, stored).await,
            Learned::Newer(newer) => Ok(Sent::Next(Step::Resolve(newer))),
        }
    }

    /// Finds out what became of the claim of an earlier submission.
    async fn learn(&self, once: &Once<'_>, stored: StoredClaim) -> Result<Learned> {
        once.claims.check_same_request(&stored, once.request)?;
        if let Some(answer) = once.claims.answer(&stored).await? {
            return Ok(Learned::Answer(answer));
        }
        let Some(pending) = stored.pending() else {
            return Ok(Learned::NotRun(stored));
        };
        match self.close(pending, once.deadline).await {
            Some(CloseAnswer::Finished(answer)) => {
                once.claims.complete_stored(stored, answer.clone());
                Ok(Learned::Answer(answer))
            }
            Some(CloseAnswer::NotStarted) => Ok(Learned::NotRun(stored)),
            Some(CloseAnswer::Unknown) | None => {
                // The attempt may have been completed since the row was read.
                let read = once.claims.read_again(&stored, once.deadline).await;
                match read {
                    Ok(Some(newer)) if newer.version() != stored.version() => {
                        Ok(Learned::Newer(newer))
                    }
                    _ => Err(unknown("the outcome of an earlier attempt is not known")),
                }
            }
        }
    }

    async fn take_over(&self, once: &Once<'_>, stored: StoredClaim) -> Result<Sent> {
        let chosen = match self.choose(once.request, &[], once.deadline) {
            Ok(chosen) => chosen,
            Err(error) => return self.release(once, stored, error).await,
        };
        let claimed = once
            .claims
            .take_over(stored, self.claimant(&chosen), once.deadline)
            .await
            .map_err(|error| unknown(&error.detail))?;
        Ok(Sent::Next(step(claimed, chosen)))
    }

    /// Closes an attempt at its agent; `None` when the agent did not answer.
    async fn close(&self, pending: &PendingClaim, deadline: Instant) -> Option<CloseAnswer> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_left = time_left.max(SHORTEST_CLOSE);
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

/// What is known of the claim of an earlier submission.
enum Learned {
    /// The request ran.
    Answer(BackendAnswer),
    /// The attempt was proved not to have run.
    NotRun(StoredClaim),
    /// The claim has changed meanwhile.
    Newer(StoredClaim),
}

/// What follows from an attempt or a claim that was found.
enum Sent {
    Done(BackendAnswer),
    Next(Step),
}

fn step(claimed: Claimed, chosen: Chosen) -> Step {
    match claimed {
        Claimed::Held(held) => Step::Send(held, chosen),
        Claimed::Exists(stored) => Step::Resolve(stored),
    }
}

/// Answers a submission whose claim could not be written.
///
/// This submission did not run, but the key names one request over all its submissions: without the
/// table nobody can tell whether an earlier one ran, so "not run" might be false.
fn unclaimed(error: &Error) -> Error {
    if error.kind != ErrorKind::StoreUnavailable {
        return error.clone();
    }
    let detail = format!(
        "this submission did not run; whether an earlier one with the same key ran is not known: {}",
        error.detail
    );
    Error::new(ErrorKind::StoreUnknown, detail)
}

fn unknown(detail: &str) -> Error {
    Error::new(ErrorKind::UnknownOutcome, detail)
}
