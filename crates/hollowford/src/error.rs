//! Errors of the command line.

use hollowford_config::SettingsError;
use hollowford_core::ErrorKind;

/// An error shown to the user of the command line.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The arguments can't be parsed.
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    /// The arguments are missing, unknown or invalid.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read, or another system call failed.
    #[error("{what}: {error}")]
    Io {
        /// The file or operation.
        what: String,
        /// The system's error.
        error: std::io::Error,
    },
    /// A settings file is invalid.
    #[error("{file}: {error}")]
    Settings {
        /// The file.
        file: String,
        /// The error and its position.
        error: SettingsError,
    },
    /// The server refused the call.
    #[error("{kind}: {message}{}", retry(*retry_after_ms))]
    Refused {
        /// Stable name of the error kind.
        kind: &'static str,
        /// The server's message.
        message: String,
        /// Delay before a retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The server can't be reached.
    #[error("the server can't be reached: {0}")]
    Unreachable(String),
    /// A process could not be started, or a run or call failed.
    #[error("{0}")]
    Run(String),
}

fn retry(ms: Option<u64>) -> String {
    ms.map_or_else(String::new, |ms| format!(" (come back after {ms} ms)"))
}

impl CliError {
    /// Returns a function that adds the file or operation to a system error.
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

    /// Returns the exit code of the error's kind.
    pub fn exit_code(&self) -> u8 {
        self.kind().info().exit
    }

    /// Returns advice for the user, if there is any.
    pub fn help(&self) -> Option<&'static str> {
        match self {
            CliError::Refused { .. } => Some(self.kind().info().help),
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
                kind: kind.info().name,
                message: s.message().to_owned(),
                retry_after_ms: text("hollowford-retry-after-ms").and_then(|t| t.parse().ok()),
            },
            None if s.code() == tonic::Code::DeadlineExceeded => CliError::Refused {
                kind: ErrorKind::Deadline.info().name,
                message: s.message().to_owned(),
                retry_after_ms: Some(0),
            },
            None => CliError::Unreachable(s.message().to_owned()),
        }
    }
}
