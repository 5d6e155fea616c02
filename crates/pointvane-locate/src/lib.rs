//! The locate process of one VM: tells callers which entry VMs to use.
//!
//! Callers may keep connections here as they like, so `hyper` serves them, as on the data path.
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
