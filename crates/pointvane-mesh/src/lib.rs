//! State machines for the state that pointvane's processes share: membership, configuration and load.
//!
//! The state machines perform no I/O, start no threads, read no clock and use no global random source: they
//! take datagrams, values and the current time as input, and return actions. [`codec`] encodes messages into
//! datagrams and frames of limited size, and decodes them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod codec;
mod feed;
mod load;
mod member;
mod membership;
mod message;
mod rendezvous;
mod replication;

pub use {
    feed::{EntryReport, FeedHello, FeedRole, FeedUpdate, ListedVm, VmList},
    load::{
        LoadDatagram, LoadDatagramError, LoadMessage, LoadReceiver, LoadSender, LoadSenderOptions,
        ServiceLimits, ServiceLoad,
    },
    member::{EntryRow, Member, MemberRow, Precedence},
    membership::{Action, MemberChange, Membership, MembershipOptions},
    message::{GossipMessage, Payload, PeerAnswer, PeerRequest, Stamps},
    rendezvous::{choose_readers, home_vms, rank},
    replication::{Offer, OfferResult, ReplicatedValue, ReplicationAction, Stamp, StampedValue},
};
