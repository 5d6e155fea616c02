//! The locate process of one VM: tells callers which entry VMs to use.
//!
//! Callers' connections here are few and short, so `rouille` serves them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer;
mod choose;
mod locate;
mod run;

pub use {
    answer::{EntryAddress, LocateAnswer},
    choose::{ChooseOptions, choose_entries},
    run::run,
};
