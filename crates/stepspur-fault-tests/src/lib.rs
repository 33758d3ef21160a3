//! Whole members of a council in one runtime with its clock paused: the program's own tasks, on a network and disks in
//! memory that a test cuts, slows, tears and puts back.
//!
//! The same seed gives the same course. What was asked and answered is kept as a [`History`], and judged from it alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod disk;
pub mod distribution;
mod fleet;
mod history;
mod net;
mod tally;

pub use disk::{Image, Moment};
pub use fleet::{Fleet, Shape, add, read};
pub use history::{Asked, History, Op};
pub use net::Wire;
pub use tally::{TALLY, Tally};
