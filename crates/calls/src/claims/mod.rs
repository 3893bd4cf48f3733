//! Claims, which make a request marked non-repeatable run at most once.

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
use commit::Written;
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
pub(crate) use record::Claimed;
pub(crate) use record::HeldClaim;
pub(crate) use record::PendingClaim;
use record::StoredAnswer;
pub(crate) use record::StoredClaim;
use record::digest;
use record::from_hex;
use record::to_hex;

/// Prefix of the rows of claims.
const ROW_PREFIX: &str = "claim/";
/// How far the clock of a caller may be ahead of the entry host's.
const MAX_AHEAD: Duration = Duration::from_secs(300);
/// Longest key, since it becomes part of a row's key.
const MAX_KEY_BYTES: usize = 128;
/// Rows that one round of the removal of old claims reads.
const SWEEP_ROWS: usize = 100;

/// Limits of claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimsSettings {
    /// How claims are written.
    pub mode: CommitMode,
    /// Time for which the first claim of a group waits for others.
    pub group_delay: Duration,
    /// Largest encoded answer that is kept in the row, in bytes; larger ones become objects.
    pub max_inline_bytes: usize,
    /// Age from which a key is refused.
    pub key_lifetime: Duration,
    /// Age from which the row of a key is removed.
    pub row_lifetime: Duration,
    /// Time for which the write of an answer is tried.
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

/// The claims of an entry host; clones share the group commits.
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
    /// Creates the claims of an entry host.
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

    /// Returns the requests to the store since the start.
    #[must_use]
    pub fn store_counts(&self) -> StoreCounts {
        let mut counts = self.committer.counts();
        counts.reads += self.lookup.reads();
        counts
    }

    /// Waits until every answer is written or given up.
    pub async fn idle(&self) {
        self.background.idle().await;
    }

    /// Removes rows of `customer` that are past their lifetime, a limited number; returns how many.
    ///
    /// Rows of a customer sort by the time in their key, so the oldest ones come first.
    ///
    /// # Errors
    /// Those of the store; the next round goes on where this one stopped.
    pub async fn remove_expired(&self, customer: &str) -> Result<usize> {
        let prefix = format!("{ROW_PREFIX}{customer}/");
        let rows = self.table.scan(&prefix, "", SWEEP_ROWS).await?;
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

    /// Checks the form and the age of a key.
    pub(crate) fn check_key(&self, key: &str) -> Result<()> {
        let bad = |detail: &str| Err(Error::new(ErrorKind::BadRequest, detail));
        let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        if key.len() > MAX_KEY_BYTES || !key.bytes().all(is_plain) {
            return bad("a key has at most 128 letters, digits, hyphens and underscores");
        }
        let Some(created) = created_unix_ms(key) else {
            return bad("a key has the form <unix-ms>-<random>");
        };
        let now = unix_ms();
        // A key from the future would outlive its row.
        if created > now.saturating_add(millis(MAX_AHEAD)) {
            return bad("the time of the key is in the future");
        }
        if created.saturating_add(millis(self.settings.key_lifetime)) < now {
            return Err(Error::new(
                ErrorKind::KeyExpired,
                "the key is older than the time for which records are certain",
            ));
        }
        Ok(())
    }

    /// Claims a key that nobody has claimed.
    pub(crate) async fn open(
        &self,
        request: &CallRequest,
        key: &str,
        pending: PendingClaim,
        deadline: Instant,
    ) -> Result<Claimed> {
        let row = ClaimRow {
            digest: digest(request),
            state: ClaimState::Pending(pending.clone()),
        };
        let key = row_key(request, key);
        self.hold(key, None, row, pending, deadline).await
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

    /// Replaces the attempt of a claim that was proved not to have run.
    pub(crate) async fn take_over(
        &self,
        stored: StoredClaim,
        pending: PendingClaim,
        deadline: Instant,
    ) -> Result<Claimed> {
        let row = ClaimRow {
            digest: stored.row.digest,
            state: ClaimState::Pending(pending.clone()),
        };
        self.hold(stored.key, Some(stored.version), row, pending, deadline)
            .await
    }

    async fn hold(
        &self,
        key: Box<str>,
        expected: Option<RowVersion>,
        row: ClaimRow,
        pending: PendingClaim,
        deadline: Instant,
    ) -> Result<Claimed> {
        let write = RowWrite {
            key: key.clone(),
            expected,
            value: row.to_text()?,
            deadline,
        };
        let written = self.committer.write(write).await.map_err(|error| {
            // The attempt was not sent and will not be, whether or not the row is written.
            Error::new(ErrorKind::StoreUnavailable, error.detail)
        })?;
        match written {
            Written::Committed(version) => Ok(Claimed::Held(HeldClaim {
                stored: StoredClaim { key, version, row },
                pending,
            })),
            Written::Rejected(Some(row)) => Ok(Claimed::Exists(to_stored(row)?)),
            Written::Rejected(None) => Err(removed()),
        }
    }

    /// Records that the attempt was proved not to have run; yields the newer claim when another
    /// entry host has taken it over.
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
            Written::Committed(_) => Ok(None),
            Written::Rejected(Some(row)) => to_stored(row).map(Some),
            Written::Rejected(None) => Err(removed()),
        }
    }

    /// Writes the answer of a held claim in the background.
    pub(crate) fn complete(&self, held: HeldClaim, answer: BackendAnswer) {
        self.complete_stored(held.into_stored(), answer);
    }

    /// Writes the answer that the agent gave for a pending claim in the background.
    pub(crate) fn complete_stored(&self, stored: StoredClaim, answer: BackendAnswer) {
        let claims = self.clone();
        let in_flight = self.background.enter();
        compio::runtime::spawn(async move {
            let key = stored.key.clone();
            if let Err(error) = claims.write_answer(stored, &answer).await {
                warn!("the answer of {key} is not stored, repeats will be unknown: {error}");
            }
            drop(in_flight);
        })
        .detach();
    }

    async fn write_answer(&self, stored: StoredClaim, answer: &BackendAnswer) -> Result<()> {
        let Some(pending) = stored.pending() else {
            return Ok(());
        };
        let deadline = Instant::now() + self.settings.answer_retry;
        let content = encode(answer)?;
        let stored_answer = if content.len() <= self.settings.max_inline_bytes {
            StoredAnswer::Inline(to_hex(&content))
        } else {
            // The attempt in the name keeps objects immutable.
            let name = format!("{}/{}", stored.key, pending.attempt).into_boxed_str();
            let mut pause = Backoff::new(Duration::from_millis(50), Duration::from_secs(5));
            while let Err(error) = self.objects.put_object(&name, content.clone()).await {
                if Instant::now() >= deadline {
                    return Err(error);
                }
                compio::time::sleep(pause.next_delay()).await;
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
        // A rejected write means that another entry host has recorded the answer.
        self.committer.write(write).await.map(|_| ())
    }

    /// Checks that a claim was made for the same request.
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

    /// Returns the stored answer of a completed claim.
    pub(crate) async fn answer(&self, stored: &StoredClaim) -> Result<Option<BackendAnswer>> {
        let ClaimState::Completed(_, stored_answer) = &stored.row.state else {
            return Ok(None);
        };
        let lost = |detail: &str| Error::new(ErrorKind::UnknownOutcome, detail);
        let content = match stored_answer {
            StoredAnswer::Inline(text) => {
                from_hex(text).ok_or_else(|| lost("the stored answer is malformed"))?
            }
            StoredAnswer::Object(name) => self
                .objects
                .get_object(name)
                .await
                .map_err(|error| Error::new(ErrorKind::StoreUnknown, error.detail))?
                .ok_or_else(|| lost("the stored answer is gone"))?,
        };
        let answer: BackendAnswer = decode(&content).map_err(|error| lost(&error.detail))?;
        if answer.body.len() as u64 != answer.body_bytes {
            return Err(lost("the stored answer is not complete"));
        }
        Ok(Some(answer))
    }

    /// Reads a claim again.
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

fn removed() -> Error {
    Error::new(ErrorKind::StoreUnknown, "the claim was removed meanwhile")
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
