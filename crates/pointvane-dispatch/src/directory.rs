//! Directory: which nodes a caller is sent to.
//!
//! Inputs: the nodes that accept callers, by the membership of the node that answers, and the data centre that the caller
//! names. The list is the same from every node, and steady, since callers drop connections to nodes that a new answer lacks.

use {pointvane_core::Name, std::net::SocketAddr};

/// Most addresses in one answer. Not measured: it bounds the answer.
const ADDRESSES_MAX: usize = 64;
/// Nodes of the caller's data centre that are enough without the others: two, so that one may fail.
const NEAR_MIN: usize = 2;

/// A node that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryMember {
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: Name,
}

/// The nodes of the caller's data centre, or all if they are too few.
pub fn directory_addresses(members: &[DirectoryMember], data_centre: Option<&Name>) -> Vec<SocketAddr> {
    let is_near = |member: &&DirectoryMember| Some(&member.data_centre) == data_centre;
    let near: Vec<SocketAddr> = members.iter().filter(is_near).map(|member| member.address).collect();
    let mut addresses = match near.len() >= NEAR_MIN {
        true => near,
        false => members.iter().map(|member| member.address).collect(),
    };
    addresses.sort_unstable();
    addresses.truncate(ADDRESSES_MAX);
    addresses
}
