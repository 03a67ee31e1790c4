//! A whole cell in one process, with stand-ins, to try hollowford out.

pub mod cell;
pub mod report;
pub mod run;
pub mod work;
