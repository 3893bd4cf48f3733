//! Tokens of customers and operators, and the secret shared by the system's own processes.

use std::fmt;

/// A secret text that is never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps `text`.
    #[must_use]
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the text, to put it into a header.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether there is no secret, because only processes of the deployment reach each other.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Compares with `shown` through digests, so that the time taken does not depend on the text.
    #[must_use]
    pub fn matches(&self, shown: &str) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(shown.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(…)")
    }
}

impl std::str::FromStr for Secret {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        Ok(Self::new(text))
    }
}

/// Returns the digest of a token as it stands in the configuration.
#[must_use]
pub fn token_digest(token: &str) -> Box<str> {
    blake3::hash(token.as_bytes()).to_hex().as_str().into()
}
