//! Which nodes a caller is sent to.

use {pointvane_core::Name, std::net::SocketAddr};

/// Most addresses that one answer names.
const ADDRESSES_MAX: usize = 64;
/// Fewest nodes of the caller's data centre that make the others needless.
const NEAR_MIN: usize = 2;

/// A node that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryMember {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
}

/// The same steady list from every node that is asked: those of the caller's data centre, or all if they are few.
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
