//! Messages between the system's own processes.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Header that carries the secret shared by the system's own processes.
pub const SECRET_HEADER: &str = "nutmegwalk-secret";
/// Header that propagates the request id through all processes.
pub const REQUEST_ID_HEADER: &str = "nutmegwalk-request-id";

/// Maximum nesting of a body. The decoder recurses, and fields that are not known may have any depth.
const MAX_DEPTH: usize = 64;

/// A request between the system's own processes.
pub trait Message: DeserializeOwned + Serialize {
    /// The answer to the message.
    type Answer: DeserializeOwned + Serialize;
    /// The path at which the receiver handles the message.
    const PATH: &'static str;
}

/// Encodes `value` as MessagePack with named fields.
///
/// # Errors
/// `internal` when the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    rmp_serde::to_vec_named(value)
        .map(Bytes::from)
        .map_err(|error| {
            Error::new(
                ErrorKind::Internal,
                format!("cannot encode a message: {error}"),
            )
        })
}

/// Decodes a MessagePack body.
///
/// # Errors
/// `bad_request` when the body is malformed.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(body);
    deserializer.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut deserializer).map_err(|error| {
        Error::new(
            ErrorKind::BadRequest,
            format!("malformed message body: {error}"),
        )
    })
}
