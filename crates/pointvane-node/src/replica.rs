//! I/O of the platform state replica: performs the calls and queries that
//! [`pointvane_dispatch::PlatformReader`] requests, and applies their results.
//!
//! `platform_reader.rs` calls the platform through `platform_client.rs` and queries other nodes through
//! `state_query.rs`, which also serves their queries. `relay_loop.rs` sends and receives the watchers'
//! relays. `publication.rs` applies all changes. `platform_state.rs` owns the state.

pub mod platform_client;
pub mod platform_reader;
pub mod platform_state;
pub mod publication;
pub mod relay_loop;
pub mod state_query;
