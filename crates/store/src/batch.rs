//! Merges independent transactions into one request and determines the result of each of them.

use std::time::Duration;
use std::time::Instant;

use log::debug;

use crate::RequestClass;
use crate::Row;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::batch_item::BatchItem;
use crate::client::Inner;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_base::event;

/// Initial delay between two attempts.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Runs a batch until every item has a result.
pub(crate) async fn run(inner: &Inner, class: RequestClass, mut items: Vec<BatchItem>) {
    let mut backoff = Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let next_attempt = inner.next_attempt_at(class);
        drop_expired(&mut items, next_attempt);
        let Some(until) = items.iter().map(|item| item.deadline).max() else {
            return;
        };
        match attempt(inner, class, &mut items, until).await {
            Ok(()) => {}
            Err(error) if is_transient(&error) => {
                debug!(target: event::STORE_RETRIED, "retrying a batch of request class {}: {error}", class.name());
                let pause = backoff.next_delay();
                compio::time::sleep(pause.min(until.saturating_duration_since(Instant::now())))
                    .await;
            }
            Err(error) => {
                handle_permanent_error(inner, class, items, error).await;
                return;
            }
        }
    }
}

/// Ends the items that must not be sent at `now`.
fn drop_expired(items: &mut Vec<BatchItem>, now: Instant) {
    items.retain(|item| {
        let may_be_sent = item.may_be_sent(now);
        if !may_be_sent {
            item.abandon();
        }
        may_be_sent
    });
}

/// Ends a batch whose content was rejected. Several items are run one by one, so that one invalid item does not fail
/// the others.
async fn handle_permanent_error(
    inner: &Inner,
    class: RequestClass,
    items: Vec<BatchItem>,
    error: Error,
) {
    if items.len() > 1 {
        for item in items {
            Box::pin(run(inner, class, vec![item])).await;
        }
        return;
    }
    for item in items {
        if item.may_be_applied() {
            item.abandon();
        } else {
            item.finish(Err(error.clone()));
        }
    }
}

fn is_transient(error: &Error) -> bool {
    matches!(
        error.kind,
        ErrorKind::StoreUnavailable | ErrorKind::StoreUnknown
    )
}

/// Reads back the items whose outcome is unknown and sends the unresolved items once; items with a result are removed.
async fn attempt(
    inner: &Inner,
    class: RequestClass,
    items: &mut Vec<BatchItem>,
    until: Instant,
) -> Result<()> {
    if items.iter().any(|item| item.needs_read_back) {
        let rows = read_back(
            inner,
            class,
            items.iter().filter(|item| item.needs_read_back),
            until,
        )
        .await?;
        items.retain_mut(|item| {
            if !std::mem::take(&mut item.needs_read_back) {
                return true;
            }
            let own_write = item.find_own_write(&rows);
            if let Some(outcome) = &own_write {
                item.finish(Ok(outcome.clone()));
            }
            own_write.is_none()
        });
        if items.is_empty() {
            return Ok(());
        }
    }
    inner.admit_write(class, until).await?;
    // The admission may wait until the latest deadline; other items may have passed theirs.
    drop_expired(items, Instant::now());
    if items.is_empty() {
        return Ok(());
    }
    for item in items.iter() {
        item.record_sent();
    }
    let merged = merge(items);
    match inner.send_transaction(class, &merged, until).await {
        Ok(TransactionOutcome::Committed { version }) => {
            for item in items.drain(..) {
                item.finish(Ok(TransactionOutcome::Committed { version }));
            }
            Ok(())
        }
        Ok(TransactionOutcome::Rejected { failed_conditions }) => {
            for item in items.iter() {
                item.record_not_applied();
            }
            handle_rejection(inner, class, items, &failed_conditions, until).await
        }
        Err(error) => {
            for item in items.iter_mut() {
                if error.kind == ErrorKind::StoreUnknown {
                    item.record_unknown_outcome();
                } else {
                    item.record_not_applied();
                }
            }
            Err(error)
        }
    }
}

/// Ends the items whose conditions failed; the others remain in the batch for the next attempt.
async fn handle_rejection(
    inner: &Inner,
    class: RequestClass,
    items: &mut Vec<BatchItem>,
    failed_conditions: &[usize],
    until: Instant,
) -> Result<()> {
    let mut open = Vec::with_capacity(items.len());
    let mut failed: Vec<(BatchItem, Vec<usize>)> = Vec::new();
    let mut start = 0;
    for item in items.drain(..) {
        let end = start + item.transaction.conditions.len();
        let item_failures: Vec<usize> = failed_conditions
            .iter()
            .filter(|index| (start..end).contains(*index))
            .map(|index| index - start)
            .collect();
        start = end;
        if item_failures.is_empty() {
            open.push(item);
        } else {
            failed.push((item, item_failures));
        }
    }
    *items = open;
    if failed.is_empty() {
        let detail = "the table rejected a transaction without naming one of its conditions";
        return Err(Error::new(ErrorKind::StoreUnavailable, detail));
    }
    let mut unknown = Vec::new();
    for (item, failed_conditions) in failed {
        if item.may_be_applied() {
            unknown.push((item, failed_conditions));
        } else {
            item.finish(Ok(TransactionOutcome::Rejected { failed_conditions }));
        }
    }
    if unknown.is_empty() {
        return Ok(());
    }
    // The condition may have failed because an earlier attempt of the same item took effect.
    match read_back(inner, class, unknown.iter().map(|(item, _)| item), until).await {
        Ok(rows) => {
            for (item, failed_conditions) in unknown {
                if let Some(outcome) = item.find_own_write(&rows) {
                    item.finish(Ok(outcome));
                } else if item.is_provably_rejected(&failed_conditions, &rows) {
                    item.finish(Ok(TransactionOutcome::Rejected { failed_conditions }));
                } else {
                    item.abandon();
                }
            }
            Ok(())
        }
        Err(error) => {
            for (mut item, _) in unknown {
                item.needs_read_back = true;
                items.push(item);
            }
            Err(error)
        }
    }
}

/// Reads the rows that `items` write.
async fn read_back(
    inner: &Inner,
    class: RequestClass,
    items: impl Iterator<Item = &BatchItem>,
    until: Instant,
) -> Result<Vec<Row>> {
    let keys: Vec<Box<str>> = items.flat_map(BatchItem::written_keys).cloned().collect();
    let rows = inner.read_rows(class, &keys, until).await?;
    Ok(rows.into_iter().flatten().collect())
}

/// Returns a transaction with the conditions and writes of all `items`, in their order.
fn merge(items: &[BatchItem]) -> Transaction {
    let mut merged = Transaction::new();
    for item in items {
        merged
            .conditions
            .extend(item.transaction.conditions.iter().cloned());
        merged
            .writes
            .extend(item.transaction.writes.iter().cloned());
    }
    merged
}
