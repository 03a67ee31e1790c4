//! The commands, one per file.

mod cancel;
mod check;
mod config;
mod definition;
mod dev;
mod drain;
mod list;
mod node;
mod serve;
mod state;
mod status;
mod submit;
mod view;

pub use definition::{COMMANDS, overview};
pub use view::{to_json as view_json, to_line as view_line};
