//! Writer tags: random numbers in stored rows by which a client identifies its own earlier writes.

use rand::Rng;

use crate::Row;
use crate::Transaction;
use crate::Write;

/// Start of a row that has a tag: the tag is its first field.
const TAG_PREFIX: &str = "{\"writer\":\"";
/// Length of a tag: 128 bits in hexadecimal.
const TAG_LENGTH: usize = 32;

/// Returns a random tag.
pub(crate) fn new_tag() -> Box<str> {
    let random: u128 = rand::rng().random();
    format!("{random:032x}").into_boxed_str()
}

/// Returns `transaction` with the tag added as the first field of every written row that is a JSON object.
pub(crate) fn tagged(transaction: &Transaction, tag: &str) -> Transaction {
    let mut transaction = transaction.clone();
    for write in &mut transaction.writes {
        if let Write::Put { value, .. } = write
            && let Some(fields) = value.strip_prefix('{')
        {
            let separator = if fields.trim_start().starts_with('}') {
                ""
            } else {
                ","
            };
            *value = format!("{TAG_PREFIX}{tag}\"{separator}{fields}").into_boxed_str();
        }
    }
    transaction
}

/// Returns the tag of a row value, if it has one.
pub(crate) fn tag_of(value: &str) -> Option<&str> {
    let rest = value.strip_prefix(TAG_PREFIX)?;
    let tag = rest.get(..TAG_LENGTH)?;
    rest[TAG_LENGTH..].starts_with('"').then_some(tag)
}

/// Removes the tag from a row before it is returned to a caller.
pub(crate) fn strip(row: &mut Row) {
    if tag_of(&row.value).is_some() {
        let fields = &row.value[TAG_PREFIX.len() + TAG_LENGTH + 1..];
        let fields = fields.strip_prefix(',').unwrap_or(fields);
        row.value = format!("{{{fields}").into_boxed_str();
    }
}
