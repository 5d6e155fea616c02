//! Directory: which node addresses a caller gets.
//!
//! Inputs: the nodes that accept callers, from the membership view of the answering node, and the data centre
//! that the caller names. The list is sorted, so that all nodes answer alike and answers change only with the
//! membership: callers close their connections to nodes that are missing from a new answer.

use {pointvane_core::Name, std::net::SocketAddr};

/// Maximum number of addresses in one answer; limits its size.
const ADDRESSES_MAX: usize = 64;
/// Minimum number of nodes in the caller's data centre for an answer without nodes of others: two, so that
/// one may fail.
const LOCAL_NODES_MIN: usize = 2;

/// A node that accepts requests of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryMember {
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
}

/// The addresses of the nodes in the caller's data centre, or of all nodes if those are too few or the caller
/// names none.
pub fn directory_addresses(members: &[DirectoryMember], data_centre: Option<&Name>) -> Vec<SocketAddr> {
    let is_local = |member: &&DirectoryMember| Some(&member.data_centre) == data_centre;
    let local: Vec<SocketAddr> = members.iter().filter(is_local).map(|member| member.address).collect();
    let mut addresses = match local.len() >= LOCAL_NODES_MIN {
        true => local,
        false => members.iter().map(|member| member.address).collect(),
    };
    addresses.sort_unstable();
    addresses.truncate(ADDRESSES_MAX);
    addresses
}
