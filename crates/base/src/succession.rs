//! Order of the messages of a process and of its successors.
//!
//! Messages of one process are numbered. Processes of one name follow each other, but neither their incarnations nor what they
//! say of others shows in which order: a time of day may have been set back between two starts, and a new owner knows no
//! earlier message. A message therefore names the last answer that its process has received. An answer of the owner's
//! term given after another process was first heard of shows that the sender was alive later, and so is its successor.

use serde::Deserialize;
use serde::Serialize;

use crate::Epoch;
use crate::Incarnation;

/// An answer that a process has received; zeros before the first one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReceivedAnswer {
    /// Epoch of the owner that gave it.
    pub epoch: Epoch,
    /// The owner's clock, in milliseconds since its term began.
    pub owner_clock_ms: u64,
}

/// Place of a message among those that were applied before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageOrder {
    /// It is later than all others of the process and of its predecessors.
    Latest,
    /// A later one of the same process was applied before.
    Late,
    /// Its process may have ended before the known one began, or before the term. The next message of a living process
    /// names the answer to this one.
    Unconfirmed,
}

/// The process of a name that is known to be the latest, and its last message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Number of its last message.
    pub number: u64,
    /// When its first message was applied, on the owner's clock, in milliseconds since the term began.
    pub joined_at_ms: u64,
}

impl Contact {
    /// Returns the place of message `number` of the process `incarnation`, whose last received answer is `answer`, in the term
    /// with `epoch`. `known` is the latest process of the same name.
    #[must_use]
    pub fn order(
        known: Option<&Self>,
        incarnation: Incarnation,
        number: u64,
        answer: ReceivedAnswer,
        epoch: Epoch,
    ) -> MessageOrder {
        if let Some(known) = known
            && known.incarnation == incarnation
        {
            return known.order_of_own(number);
        }
        let is_successor = known.is_none_or(|known| answer.owner_clock_ms > known.joined_at_ms);
        if answer.epoch == epoch && is_successor {
            MessageOrder::Latest
        } else {
            MessageOrder::Unconfirmed
        }
    }

    /// Returns the place of message `number` of this process.
    #[must_use]
    pub fn order_of_own(&self, number: u64) -> MessageOrder {
        if number > self.number {
            MessageOrder::Latest
        } else {
            MessageOrder::Late
        }
    }

    /// Returns the contact after message `number` of the process `incarnation` was applied at `now_ms` on the owner's clock.
    #[must_use]
    pub fn after(known: Option<&Self>, incarnation: Incarnation, number: u64, now_ms: u64) -> Self {
        let known = known.filter(|known| known.incarnation == incarnation);
        Self {
            incarnation,
            number,
            joined_at_ms: known.map_or(now_ms, |known| known.joined_at_ms),
        }
    }
}
