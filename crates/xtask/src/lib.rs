//! The regression check: entries of the bench's journal against a base that is recorded in the
//! repository. The binary plays the sets; everything that decides is here.

pub mod base;
pub mod digest;
pub mod experiment;
pub mod journal;
pub mod known_red;
pub mod larger;
pub mod sets;
pub mod verdict;
