//! A complete cell in one process, with stand-ins for the platform and workers, to try hollowford out.

pub mod cell;
pub mod report;
pub mod run;
pub mod work;
