//! Gathers independent transactions into one and resolves each of them.

use std::time::Duration;
use std::time::Instant;

use log::debug;

use crate::Duty;
use crate::Row;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::client::Inner;
use crate::part::Part;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_base::event;

/// First delay between two attempts.
const FIRST_RETRY: Duration = Duration::from_millis(20);
/// Longest delay between two attempts.
const LONGEST_RETRY: Duration = Duration::from_millis(500);

/// Runs a batch until every part has a result.
pub(crate) async fn run(inner: &Inner, duty: Duty, mut parts: Vec<Part>) {
    let mut backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY);
    loop {
        let next_attempt = inner.next_attempt(duty);
        drop_unwanted(&mut parts, next_attempt);
        let Some(until) = parts.iter().map(|part| part.deadline).max() else {
            return;
        };
        match attempt(inner, duty, &mut parts, until).await {
            Ok(()) => {}
            Err(error) if is_transient(&error) => {
                debug!(target: event::STORE_RETRIED, "a batch of {} is tried again: {error}", duty.name());
                let pause = backoff.next_delay();
                compio::time::sleep(pause.min(until.saturating_duration_since(Instant::now())))
                    .await;
            }
            Err(error) => {
                refuse(inner, duty, parts, error).await;
                return;
            }
        }
    }
}

/// Ends the parts that may not be sent at `now`.
fn drop_unwanted(parts: &mut Vec<Part>, now: Instant) {
    parts.retain(|part| {
        let is_wanted = part.is_wanted(now);
        if !is_wanted {
            part.give_up();
        }
        is_wanted
    });
}

/// Ends a batch whose content was refused: one bad part must not fail the others.
async fn refuse(inner: &Inner, duty: Duty, parts: Vec<Part>, error: Error) {
    if parts.len() > 1 {
        for part in parts {
            Box::pin(run(inner, duty, vec![part])).await;
        }
        return;
    }
    for part in parts {
        if part.may_be_applied() {
            part.give_up();
        } else {
            part.finish(Err(error.clone()));
        }
    }
}

fn is_transient(error: &Error) -> bool {
    matches!(
        error.kind,
        ErrorKind::StoreUnavailable | ErrorKind::StoreUnknown
    )
}

/// Reads back what is unknown and sends the rest once; parts with a result are removed.
async fn attempt(inner: &Inner, duty: Duty, parts: &mut Vec<Part>, until: Instant) -> Result<()> {
    if parts.iter().any(|part| part.needs_read_back) {
        let rows = read_back(
            inner,
            duty,
            parts.iter().filter(|part| part.needs_read_back),
            until,
        )
        .await?;
        parts.retain_mut(|part| {
            if !std::mem::take(&mut part.needs_read_back) {
                return true;
            }
            let own = part.own_write(&rows);
            if let Some(outcome) = &own {
                part.finish(Ok(outcome.clone()));
            }
            own.is_none()
        });
        if parts.is_empty() {
            return Ok(());
        }
    }
    inner.admit_write(duty, until).await?;
    // The admission waits for the part with the latest deadline; others may have passed theirs.
    drop_unwanted(parts, Instant::now());
    if parts.is_empty() {
        return Ok(());
    }
    for part in parts.iter() {
        part.sent();
    }
    let merged = merge(parts);
    match inner.send_transaction(duty, &merged, until).await {
        Ok(TransactionOutcome::Committed { version }) => {
            for part in parts.drain(..) {
                part.finish(Ok(TransactionOutcome::Committed { version }));
            }
            Ok(())
        }
        Ok(TransactionOutcome::Rejected { failed_conditions }) => {
            for part in parts.iter() {
                part.not_applied();
            }
            reject(inner, duty, parts, &failed_conditions, until).await
        }
        Err(error) => {
            for part in parts.iter_mut() {
                if error.kind == ErrorKind::StoreUnknown {
                    part.outcome_unknown();
                } else {
                    part.not_applied();
                }
            }
            Err(error)
        }
    }
}

/// Ends the parts whose conditions failed; the others stay to be sent again.
async fn reject(
    inner: &Inner,
    duty: Duty,
    parts: &mut Vec<Part>,
    failed_conditions: &[usize],
    until: Instant,
) -> Result<()> {
    let mut open = Vec::with_capacity(parts.len());
    let mut failed: Vec<(Part, Vec<usize>)> = Vec::new();
    let mut start = 0;
    for part in parts.drain(..) {
        let end = start + part.transaction.conditions.len();
        let own: Vec<usize> = failed_conditions
            .iter()
            .filter(|index| (start..end).contains(*index))
            .map(|index| index - start)
            .collect();
        start = end;
        if own.is_empty() {
            open.push(part);
        } else {
            failed.push((part, own));
        }
    }
    *parts = open;
    if failed.is_empty() {
        let detail = "the table rejected a transaction without naming one of its conditions";
        return Err(Error::new(ErrorKind::StoreUnavailable, detail));
    }
    let mut unknown = Vec::new();
    for (part, failed_conditions) in failed {
        if part.may_be_applied() {
            unknown.push((part, failed_conditions));
        } else {
            part.finish(Ok(TransactionOutcome::Rejected { failed_conditions }));
        }
    }
    if unknown.is_empty() {
        return Ok(());
    }
    // The condition may have failed because of the part's own earlier attempt.
    match read_back(inner, duty, unknown.iter().map(|(part, _)| part), until).await {
        Ok(rows) => {
            for (part, failed_conditions) in unknown {
                if let Some(outcome) = part.own_write(&rows) {
                    part.finish(Ok(outcome));
                } else if part.is_certainly_rejected(&failed_conditions, &rows) {
                    part.finish(Ok(TransactionOutcome::Rejected { failed_conditions }));
                } else {
                    part.give_up();
                }
            }
            Ok(())
        }
        Err(error) => {
            for (mut part, _) in unknown {
                part.needs_read_back = true;
                parts.push(part);
            }
            Err(error)
        }
    }
}

async fn read_back(
    inner: &Inner,
    duty: Duty,
    parts: impl Iterator<Item = &Part>,
    until: Instant,
) -> Result<Vec<Row>> {
    let keys: Vec<Box<str>> = parts.flat_map(Part::written_keys).cloned().collect();
    let rows = inner.read_rows(duty, &keys, until).await?;
    Ok(rows.into_iter().flatten().collect())
}

fn merge(parts: &[Part]) -> Transaction {
    let mut merged = Transaction::new();
    for part in parts {
        merged
            .conditions
            .extend(part.transaction.conditions.iter().cloned());
        merged
            .writes
            .extend(part.transaction.writes.iter().cloned());
    }
    merged
}
