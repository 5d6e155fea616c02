//! The data path on each entry VM, as pipes and filters:
//! accept, classify, (remember the key,) admit, choose, forward, answer.
//!
//! Decisions are `pointvane-balance`'s; this crate is the shell around them. `hyper` serves and calls: the
//! reasons against `rouille` and `ureq` on this path stand in docs/DESIGN.md with their figures.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admit;
mod answer;
mod answer_wait;
mod body;
mod classify;
mod connections;
mod counters;
mod entry;
mod exchange;
mod feed;
mod forward;
mod handle;
mod head_notices;
mod kept_answer;
mod keyed;
mod maintain;
mod members;
mod notice_recorder;
mod outgoing;
mod request_body;
mod routes;
mod service;
mod status;
mod stop;
mod transitions;
mod try_upstream;

pub use {
    entry::Entry,
    status::{EntryStatus, ServiceStatus},
    stop::run,
};
