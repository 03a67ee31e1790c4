//! Secret values whose `Debug` output is redacted.

use std::fmt;

/// A secret string of the settings. Its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret string.
    pub fn new(text: &str) -> Secret {
        Secret(text.to_owned())
    }

    /// Returns the secret, which must not be logged.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}
