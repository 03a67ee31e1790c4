//! Reads and validates the settings of a process, written as JSON with comments.

mod policy;
mod reader;
mod secret;
mod settings;

pub use policy::read_policy;
pub use reader::{Document, Node, Section, SettingsError};
pub use secret::Secret;
pub use settings::{
    Lease, Listen, PartitionBy, PlatformSettings, Settings, StoreBudget, TlsSettings,
};
