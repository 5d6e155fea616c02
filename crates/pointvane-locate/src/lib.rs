//! The locate process of a VM: tells callers which entry VMs to use.
//!
//! Callers may keep any number of connections open, so they are served asynchronously by `hyper`, as on the
//! data path.
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
