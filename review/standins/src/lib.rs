//! Stand-ins of the review: the platform's store, instances, and the start of the project's own nodes.

pub mod fleet;
pub mod http;
pub mod instance;
pub mod record;
pub mod setup;
pub mod store;
