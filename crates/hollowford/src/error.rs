//! What can go wrong on the command line.

use hollowford_config::SettingsError;
use hollowford_core::ErrorKind;

/// An error as the user of the command line sees it.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The arguments are wrong.
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    /// The arguments are wrong, in words.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read, or an address bound.
    #[error("{what}: {error}")]
    Io {
        /// The file or step.
        what: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// A settings file is wrong.
    #[error("{file}: {error}")]
    Settings {
        /// The file.
        file: String,
        /// What is wrong, and where.
        error: SettingsError,
    },
    /// The server refused the call.
    #[error("{kind}: {message}{}", retry(*retry_after_ms))]
    Refused {
        /// Stable name of the kind.
        kind: &'static str,
        /// What the server said.
        message: String,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The server can't be reached.
    #[error("the server can't be reached: {0}")]
    Unreachable(String),
    /// A run of `dev` did not get all its answers.
    #[error("{0}")]
    Run(String),
}

fn retry(ms: Option<u64>) -> String {
    ms.map_or_else(String::new, |ms| format!(" (come back after {ms} ms)"))
}

impl CliError {
    /// Names what could not be done.
    pub fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> CliError {
        let what = what.into();
        move |error| CliError::Io { what, error }
    }

    fn kind(&self) -> ErrorKind {
        match self {
            CliError::Arguments(_) | CliError::Usage(_) | CliError::Settings { .. } => {
                ErrorKind::Invalid
            }
            CliError::Refused { kind, .. } => {
                ErrorKind::from_name(kind).unwrap_or(ErrorKind::Internal)
            }
            CliError::Unreachable(_) => ErrorKind::Unavailable,
            CliError::Io { .. } => ErrorKind::Internal,
            CliError::Run(_) => ErrorKind::Failed,
        }
    }

    /// Returns the exit code, by the table of kinds.
    pub fn exit_code(&self) -> u8 {
        self.kind().answer().exit
    }

    /// Returns what to do about it.
    pub fn help(&self) -> Option<&'static str> {
        match self {
            CliError::Refused { .. } => Some(self.kind().answer().help),
            CliError::Arguments(_) | CliError::Usage(_) => Some("see `hollowford COMMAND --help`"),
            _ => None,
        }
    }
}

impl From<tonic::Status> for CliError {
    fn from(s: tonic::Status) -> CliError {
        let text = |key| s.metadata().get(key).and_then(|v| v.to_str().ok());
        let kind = text("hollowford-kind").and_then(ErrorKind::from_name);
        match kind {
            Some(kind) => CliError::Refused {
                kind: kind.answer().name,
                message: s.message().to_owned(),
                retry_after_ms: text("hollowford-retry-after-ms").and_then(|t| t.parse().ok()),
            },
            None if s.code() == tonic::Code::DeadlineExceeded => CliError::Refused {
                kind: ErrorKind::Deadline.answer().name,
                message: s.message().to_owned(),
                retry_after_ms: Some(0),
            },
            None => CliError::Unreachable(s.message().to_owned()),
        }
    }
}
