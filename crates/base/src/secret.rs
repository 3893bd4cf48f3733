//! Tokens of customers and operators, and the secret shared by the system's own processes.

use std::fmt;

/// A secret string; its `Debug` output does not contain it.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps `text`.
    #[must_use]
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the secret string, to send it in a header.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether no secret is set, because the network admits only processes of the deployment.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Compares the secret with `presented` by their digests, so that the time taken does not depend on the secret.
    #[must_use]
    pub fn matches(&self, presented: &str) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(presented.as_bytes())
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

/// Returns the digest of a token in the form in which the configuration stores it.
#[must_use]
pub fn token_digest(token: &str) -> Box<str> {
    blake3::hash(token.as_bytes()).to_hex().as_str().into()
}
