//! A node's replica of the state that the platform publishes, and the protocol by which nodes keep their
//! replicas in sync.
//!
//! The state consists of keyed entries (upstreams, evacuations) and one versioned configuration, complete up
//! to a revision. Updates come from two sources: answers of the platform (`reader/answers.rs`: full reads,
//! watches) and messages of other nodes (`relay.rs`: the latest changes; `state_query.rs`: the full state or
//! a delta). Both are converted to the same change type, which `pointvane-node` applies regardless of the
//! source. The state is exposed as the route table (`routes.rs`), the upstream pool (`pool.rs`) and the set of
//! evacuated data centres (`evacuations.rs`).
//!
//! | question | file |
//! | --- | --- |
//! | when a node reads the platform or queries another node | `reader.rs` and its modules |
//! | up to which revision the platform has been read | `read_mark.rs` |
//! | what watchers broadcast to all nodes | `relay.rs`, over `fan_out.rs` |
//! | what nodes answer to queries | `state_query.rs`; configuration deltas: `routing_log.rs` |
//! | in which order nodes query each other for a new state | `query_order.rs` |

pub mod fan_out;
pub mod query_order;
pub mod read_mark;
pub mod reader;
pub mod relay;
pub mod routing_log;
pub mod state_query;
