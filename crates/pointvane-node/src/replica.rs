//! The shell of the replica: makes the calls and queries that [`pointvane_dispatch::PlatformReader`] asks for, and puts what they bring in
//! force.
//!
//! `platform_reader.rs` calls the platform through `platform_client.rs` and queries other nodes through `state_query.rs`, which answers
//! them too; `relay_loop.rs` sends and receives what watchers send to all; all changes end in `publication.rs`. `platform_state.rs` owns the
//! state.

pub mod platform_client;
pub mod platform_reader;
pub mod platform_state;
pub mod publication;
pub mod relay_loop;
pub mod state_query;
