//! What every command states about itself.

use super::{cancel, check, config, dev, drain, list, node, serve, state, status, submit};
use crate::error::CliError;
use pico_args::Arguments;
use std::fmt::Write;

/// A command line with what it does. Tests run those that need no server.
#[derive(Debug)]
pub struct Example {
    /// The whole command line.
    pub line: &'static str,
    /// What it does.
    pub explanation: &'static str,
}

/// A command: its name, signature, description and examples, and what it does.
pub struct Command {
    /// Its name.
    pub name: &'static str,
    /// Its arguments, as the help shows them.
    pub signature: &'static str,
    /// What it does, in a sentence or two.
    pub description: &'static str,
    /// How it is used.
    pub examples: &'static [Example],
    /// Carries it out.
    pub run: fn(Arguments) -> Result<(), CliError>,
}

/// Every command, in the order of the overview.
pub const COMMANDS: &[Command] = &[
    serve::COMMAND,
    node::COMMAND,
    check::COMMAND,
    dev::COMMAND,
    submit::COMMAND,
    status::COMMAND,
    list::COMMAND,
    cancel::COMMAND,
    config::COMMAND,
    drain::COMMAND,
    state::COMMAND,
];

impl Command {
    /// Returns the text of `--help`.
    pub fn help(&self) -> String {
        let mut text =
            format!("{}\n\nusage: hollowford {} {}\n", self.description, self.name, self.signature);
        text.push_str("\nexamples:\n");
        for e in self.examples {
            // Writing to a text can't fail.
            let _ = writeln!(text, "  {}\n      {}", e.line, e.explanation);
        }
        text
    }
}

/// Lists the commands; an error when a name was given that none of them has.
pub fn overview(name: Option<&str>) -> Result<(), CliError> {
    if let Some(name) = name {
        let near = COMMANDS.iter().min_by_key(|c| strsim::levenshtein(c.name, name));
        let near = near.map_or("", |c| c.name);
        return Err(CliError::Usage(format!("no command {name:?}; did you mean {near:?}?")));
    }
    println!("hollowford {}\n", env!("CARGO_PKG_VERSION"));
    for c in COMMANDS {
        println!("  {:<8} {}", c.name, c.description.lines().next().unwrap_or_default());
    }
    println!("\n`hollowford COMMAND --help` tells more.");
    Ok(())
}
