//! The replica: what a node knows of the platform, and how it and the other nodes keep it equal.
//!
//! Entries by key (upstreams, evacuations) and one configuration by its version, with the revision up to which they are whole. Two doors
//! lead in: answers of the platform (`reader/answers.rs`: whole reads, watches) and of other nodes (`relay.rs`: the last changes;
//! `state_query.rs`: everything, or what changed). Both give changes, which the shell applies alike; nothing behind that asks how an entry
//! came. Views lead out: routes in force (`routes.rs`), upstreams (`pool.rs`), data centres that may get work (`evacuations.rs`).
//!
//! | question | file |
//! | --- | --- |
//! | when the platform is read or another node is queried | `reader.rs` and its modules |
//! | how far it is read | `read_mark.rs` |
//! | what watchers send to all | `relay.rs`, over `fan_out.rs` |
//! | what nodes answer each other | `state_query.rs`; configurations by what changed: `routing_log.rs` |
//! | in which order nodes query each other | `query_order.rs` |

pub mod fan_out;
pub mod query_order;
pub mod read_mark;
pub mod reader;
pub mod relay;
pub mod routing_log;
pub mod state_query;
