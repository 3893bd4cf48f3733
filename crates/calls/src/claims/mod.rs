//! Claims, which ensure that a request marked as non-repeatable runs at most once.

mod commit;
mod lookup;
mod record;

pub use commit::CommitMode;
pub use commit::StoreCounts;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use commit::Committer;
use commit::RowWrite;
use commit::WriteResult;
use log::warn;
use lookup::Lookup;
use record::ClaimRow;
use record::ClaimState;

use crate::BackendAnswer;
use crate::CallRequest;
use crate::message::created_unix_ms;
use crate::unix_ms;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::backoff::Backoff;
use nutmegwalk_net::Drain;
use nutmegwalk_net::decode;
use nutmegwalk_net::encode;
use nutmegwalk_store::ObjectStore;
use nutmegwalk_store::Row;
use nutmegwalk_store::RowVersion;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_store::TransactionOutcome;
pub(crate) use record::ClaimResult;
pub(crate) use record::HeldClaim;
pub(crate) use record::PendingClaim;
use record::StoredAnswer;
pub(crate) use record::StoredClaim;
use record::digest;
use record::from_hex;
use record::to_hex;

/// Prefix of the keys of claim rows.
const ROW_PREFIX: &str = "claim/";
/// Maximum time by which the clock of a caller may be ahead of the entry host's clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);
/// Maximum length of a key, in bytes; limited because the key becomes part of the key of a row.
const MAX_KEY_BYTES: usize = 128;
/// Maximum number of rows that one round of the removal of old claims reads.
const MAX_REMOVAL_ROWS: usize = 100;

/// Settings of claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimsSettings {
    /// Mode in which claims are written to the table.
    pub mode: CommitMode,
    /// Time for which the first claim of a group waits for further claims.
    pub group_delay: Duration,
    /// Maximum size of an encoded answer that is stored in the row, in bytes; larger answers are stored as
    /// objects.
    pub max_inline_bytes: usize,
    /// Age above which a key is refused.
    pub key_lifetime: Duration,
    /// Age above which the row of a key is removed.
    pub row_lifetime: Duration,
    /// Time for which a failed write of an answer is retried.
    pub answer_retry: Duration,
}

impl Default for ClaimsSettings {
    fn default() -> Self {
        Self {
            mode: CommitMode::Group,
            group_delay: Duration::from_millis(2),
            max_inline_bytes: 8 << 10,
            key_lifetime: Duration::from_secs(24 * 3600),
            row_lifetime: Duration::from_secs(48 * 3600),
            answer_retry: Duration::from_secs(600),
        }
    }
}

/// The claims of an entry host; clones share the group commit.
#[derive(Clone)]
pub struct Claims {
    committer: Rc<Committer>,
    lookup: Rc<Lookup>,
    table: Rc<dyn TableStore>,
    objects: Rc<dyn ObjectStore>,
    settings: ClaimsSettings,
    background: Drain,
}

impl Claims {
    /// Creates the claims of an entry host, with rows in `table` and large answers in `objects`.
    #[must_use]
    pub fn new(
        table: Rc<dyn TableStore>,
        objects: Rc<dyn ObjectStore>,
        settings: ClaimsSettings,
    ) -> Self {
        Self {
            committer: Rc::new(Committer::new(
                Rc::clone(&table),
                settings.mode,
                settings.group_delay,
            )),
            lookup: Rc::new(Lookup::new(Rc::clone(&table))),
            table,
            objects,
            settings,
            background: Drain::new(),
        }
    }

    /// Returns the numbers of requests to the store since these claims were created.
    #[must_use]
    pub fn store_counts(&self) -> StoreCounts {
        let mut counts = self.committer.counts();
        counts.reads += self.lookup.reads();
        counts
    }

    /// Waits until every write of an answer has succeeded or was abandoned.
    pub async fn idle(&self) {
        self.background.idle().await;
    }

    /// Removes a limited number of rows of `customer` that are past their lifetime; returns how many.
    ///
    /// Rows of a customer sort by the time in their key, so the oldest rows are read first.
    ///
    /// # Errors
    /// The errors of the store; the next round continues where this one stopped.
    pub async fn remove_expired(&self, customer: &str) -> Result<usize> {
        let prefix = format!("{ROW_PREFIX}{customer}/");
        let rows = self.table.scan(&prefix, "", MAX_REMOVAL_ROWS).await?;
        let lifetime_ms = millis(self.settings.row_lifetime);
        let mut transaction = Transaction::new();
        for row in rows {
            let created = row.key.strip_prefix(&*prefix).and_then(created_unix_ms);
            let expired =
                created.is_none_or(|created| created.saturating_add(lifetime_ms) < unix_ms());
            if expired {
                transaction = transaction
                    .with_version(row.key.clone(), row.version)
                    .with_delete(row.key);
            }
        }
        let removed = transaction.writes.len();
        if removed == 0 {
            return Ok(0);
        }
        match self.table.transact(&transaction).await? {
            TransactionOutcome::Committed { .. } => Ok(removed),
            TransactionOutcome::Rejected { .. } => Ok(0),
        }
    }

    /// Checks the format and the age of a key.
    ///
    /// # Errors
    /// `bad_request` when the key is malformed or its time is in the future; `key_expired` when it is too old.
    pub(crate) fn check_key(&self, key: &str) -> Result<()> {
        let bad_request = |detail: &str| Err(Error::new(ErrorKind::BadRequest, detail));
        let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        if key.len() > MAX_KEY_BYTES || !key.bytes().all(is_plain) {
            return bad_request(
                "a key must consist of at most 128 letters, digits, hyphens and underscores",
            );
        }
        let Some(created) = created_unix_ms(key) else {
            return bad_request("a key must have the form <unix-ms>-<random>");
        };
        let now = unix_ms();
        // A key with a future time would be accepted, and its row kept, for longer than their lifetimes.
        if created > now.saturating_add(millis(MAX_CLOCK_SKEW)) {
            return bad_request("the time of the key is in the future");
        }
        if created.saturating_add(millis(self.settings.key_lifetime)) < now {
            return Err(Error::new(
                ErrorKind::KeyExpired,
                "the key is older than the time for which its record is guaranteed to be kept",
            ));
        }
        Ok(())
    }

    /// Claims a key that has not been claimed yet.
    pub(crate) async fn claim(
        &self,
        request: &CallRequest,
        key: &str,
        pending: PendingClaim,
        deadline: Instant,
    ) -> Result<ClaimResult> {
        let row = ClaimRow {
            digest: digest(request),
            state: ClaimState::Pending(pending.clone()),
        };
        let key = row_key(request, key);
        self.write_pending(key, None, row, pending, deadline).await
    }

    /// Returns the claim of a key, if there is one.
    pub(crate) async fn find(
        &self,
        request: &CallRequest,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<StoredClaim>> {
        let row = self.lookup.read(row_key(request, key), deadline).await?;
        row.map(to_stored).transpose()
    }

    /// Replaces the attempt of a claim, which provably did not run, by the attempt in `pending`.
    pub(crate) async fn take_over(
        &self,
        stored: StoredClaim,
        pending: PendingClaim,
        deadline: Instant,
    ) -> Result<ClaimResult> {
        let row = ClaimRow {
            digest: stored.row.digest,
            state: ClaimState::Pending(pending.clone()),
        };
        self.write_pending(stored.key, Some(stored.version), row, pending, deadline)
            .await
    }

    /// Writes a pending claim if the row still has the `expected` version.
    async fn write_pending(
        &self,
        key: Box<str>,
        expected: Option<RowVersion>,
        row: ClaimRow,
        pending: PendingClaim,
        deadline: Instant,
    ) -> Result<ClaimResult> {
        let write = RowWrite {
            key: key.clone(),
            expected,
            value: row.to_text()?,
            deadline,
        };
        let written = self.committer.write(write).await.map_err(|error| {
            // The attempt was not sent and will not be sent, whether or not the row was written.
            Error::new(ErrorKind::StoreUnavailable, error.detail)
        })?;
        match written {
            WriteResult::Committed(version) => Ok(ClaimResult::Held(HeldClaim {
                stored: StoredClaim { key, version, row },
                pending,
            })),
            WriteResult::Rejected(Some(row)) => Ok(ClaimResult::Exists(to_stored(row)?)),
            WriteResult::Rejected(None) => Err(claim_removed()),
        }
    }

    /// Records that the attempt of a claim provably did not run. Returns the newer claim when another
    /// entry host has taken over the claim.
    pub(crate) async fn release(
        &self,
        stored: StoredClaim,
        deadline: Instant,
    ) -> Result<Option<StoredClaim>> {
        let Some(pending) = stored.pending() else {
            return Ok(None);
        };
        let row = ClaimRow {
            digest: stored.row.digest.clone(),
            state: ClaimState::Released(pending.attempt.clone()),
        };
        let write = RowWrite {
            key: stored.key,
            expected: Some(stored.version),
            value: row.to_text()?,
            deadline,
        };
        match self.committer.write(write).await? {
            WriteResult::Committed(_) => Ok(None),
            WriteResult::Rejected(Some(row)) => to_stored(row).map(Some),
            WriteResult::Rejected(None) => Err(claim_removed()),
        }
    }

    /// Writes the answer to a held claim in the background.
    pub(crate) fn complete(&self, held: HeldClaim, answer: BackendAnswer) {
        self.complete_stored(held.into_stored(), answer);
    }

    /// Writes the answer that an agent returned for a pending claim in the background.
    pub(crate) fn complete_stored(&self, stored: StoredClaim, answer: BackendAnswer) {
        let claims = self.clone();
        let in_flight = self.background.enter();
        compio::runtime::spawn(async move {
            let key = stored.key.clone();
            if let Err(error) = claims.write_answer(stored, &answer).await {
                warn!("answer of {key} was not stored, repeats may end with an unknown outcome: {error}");
            }
            drop(in_flight);
        })
        .detach();
    }

    /// Writes an answer to the claim's row, or to an object if it is large.
    async fn write_answer(&self, stored: StoredClaim, answer: &BackendAnswer) -> Result<()> {
        let Some(pending) = stored.pending() else {
            return Ok(());
        };
        let deadline = Instant::now() + self.settings.answer_retry;
        let content = encode(answer)?;
        let stored_answer = if content.len() <= self.settings.max_inline_bytes {
            StoredAnswer::Inline(to_hex(&content))
        } else {
            // The name contains the attempt, so that no object is overwritten with another answer.
            let name = format!("{}/{}", stored.key, pending.attempt).into_boxed_str();
            let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(5));
            while let Err(error) = self.objects.put_object(&name, content.clone()).await {
                if Instant::now() >= deadline {
                    return Err(error);
                }
                compio::time::sleep(backoff.next_delay()).await;
            }
            StoredAnswer::Object(name)
        };
        let row = ClaimRow {
            digest: stored.row.digest.clone(),
            state: ClaimState::Completed(pending.attempt.clone(), stored_answer),
        };
        let write = RowWrite {
            key: stored.key,
            expected: Some(stored.version),
            value: row.to_text()?,
            deadline,
        };
        // A rejected write means that another entry host has already stored the answer.
        self.committer.write(write).await.map(|_| ())
    }

    /// Checks that a claim was made for the same request.
    ///
    /// # Errors
    /// `key_reused` when the claim was made for another request.
    pub(crate) fn check_same_request(
        &self,
        stored: &StoredClaim,
        request: &CallRequest,
    ) -> Result<()> {
        if stored.row.digest == digest(request) {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::KeyReused,
            "the key was used for another request",
        ))
    }

    /// Returns the stored answer of a completed claim; `None` when the claim is not completed.
    ///
    /// # Errors
    /// `unknown_outcome` when the stored answer is missing or damaged; `store_unknown` when it cannot be read.
    pub(crate) async fn stored_answer(
        &self,
        stored: &StoredClaim,
    ) -> Result<Option<BackendAnswer>> {
        let ClaimState::Completed(_, stored_answer) = &stored.row.state else {
            return Ok(None);
        };
        let unusable = |detail: &str| Error::new(ErrorKind::UnknownOutcome, detail);
        let content = match stored_answer {
            StoredAnswer::Inline(text) => {
                from_hex(text).ok_or_else(|| unusable("the stored answer is malformed"))?
            }
            StoredAnswer::Object(name) => self
                .objects
                .get_object(name)
                .await
                .map_err(|error| Error::new(ErrorKind::StoreUnknown, error.detail))?
                .ok_or_else(|| unusable("the stored answer is missing"))?,
        };
        let answer: BackendAnswer = decode(&content).map_err(|error| unusable(&error.detail))?;
        if answer.body.len() as u64 != answer.body_bytes {
            return Err(unusable("the stored answer is truncated"));
        }
        Ok(Some(answer))
    }

    /// Reads a claim again; `None` when its row no longer exists.
    pub(crate) async fn read_again(
        &self,
        stored: &StoredClaim,
        deadline: Instant,
    ) -> Result<Option<StoredClaim>> {
        let row = self.lookup.read(stored.key.clone(), deadline).await?;
        row.map(to_stored).transpose()
    }
}

fn to_stored(row: Row) -> Result<StoredClaim> {
    Ok(StoredClaim {
        row: ClaimRow::from_text(&row.value)?,
        key: row.key,
        version: row.version,
    })
}

fn row_key(request: &CallRequest, key: &str) -> Box<str> {
    format!("{ROW_PREFIX}{}/{key}", request.customer).into()
}

fn claim_removed() -> Error {
    Error::new(
        ErrorKind::StoreUnknown,
        "the claim was removed in the meantime",
    )
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
