//! Values that are never printed.

use std::fmt;

/// A secret of the settings. Its `Debug` output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Keeps a secret.
    pub fn new(text: &str) -> Secret {
        Secret(text.to_owned())
    }

    /// Returns the secret, to be used and not to be printed.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}
