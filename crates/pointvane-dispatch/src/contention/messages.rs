//! Contention messages between nodes.

use {
    pointvane_core::{Name, US_PER_MS},
    serde::{Deserialize, Serialize},
};

/// Maximum number of entries in one datagram.
pub const CONTENTION_ENTRIES_MAX: usize = 19;
/// Maximum weight of an entry, in load reports. Bounds the effect of one datagram.
pub(super) const ENTRY_WEIGHT_MAX: f64 = 0.25;
/// Units of [`ContentionEntry::weight_millionths`] in a load report.
const MILLIONTHS: f64 = 1e6;
/// Units of [`ContentionEntry::uncontended`] in a share of 1.
const SHARE_UNITS: f64 = 255.0;
/// Units of [`ContentionEntry::occupancy`] in an occupancy of 1.
const OCCUPANCY_UNITS: f64 = 64.0;
/// Unit of [`ContentionEntry::age`], in microseconds.
const AGE_UNIT_US: u64 = 10 * US_PER_MS;
/// Age that reports gain when they are handed over, in microseconds: the time that a datagram takes. Without
/// it they would become younger with each hop.
const HOP_US: u64 = 30 * US_PER_MS;

/// A datagram with load reports that the sender hands over to the receiver.
///
/// Encoded by position: the order of fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentionMessage {
    /// At most [`CONTENTION_ENTRIES_MAX`] entries.
    pub entries: Vec<ContentionEntry>,
}

/// Load reports of the upstreams of one service in one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentionEntry {
    /// The service and the data centre.
    pub pair: PairId,
    /// Number of reports, in millionths of a report; older ones are weighted less.
    pub weight_millionths: u32,
    /// Share of the reports by which an upstream was uncontended, in 255ths.
    pub uncontended: u8,
    /// Mean share of occupied slots, in 64ths; at most 255, which stands for anything above.
    pub occupancy: u8,
    /// Time since an upstream sent the newest of the reports, in units of 10 ms.
    pub age: u8,
}

/// Contents of an entry in the units of the estimate.
#[derive(Clone, Copy, Debug)]
pub(super) struct EntryValues {
    pub(super) weight: f64,
    pub(super) uncontended_share: f64,
    pub(super) occupancy: f64,
    pub(super) age_us: u64,
}

/// Hash of the names of a service and a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PairId(pub [u8; 4]);

impl PairId {
    /// The identity of a service and a data centre. Nodes of all versions must compute the same.
    pub fn of(service: &Name, data_centre: &Name) -> Self {
        /// Parameters of the 32-bit FNV-1a hash.
        const FNV_OFFSET: u32 = 0x811c_9dc5;
        const FNV_PRIME: u32 = 0x0100_0193;
        let bytes = service.as_str().bytes().chain([0]).chain(data_centre.as_str().bytes());
        let hash = bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME));
        Self(hash.to_be_bytes())
    }
}

impl ContentionEntry {
    /// Encodes reports; `None` if their weight rounds to zero or they are too old.
    pub(super) fn new(pair: PairId, values: &EntryValues) -> Option<Self> {
        let weight_millionths = (values.weight * MILLIONTHS) as u32;
        let age = u8::try_from(values.age_us.div_ceil(AGE_UNIT_US)).ok()?;
        // A conversion to an integer saturates.
        (weight_millionths > 0).then_some(Self {
            pair,
            weight_millionths,
            uncontended: (values.uncontended_share * SHARE_UNITS).round() as u8,
            occupancy: (values.occupancy * OCCUPANCY_UNITS).round() as u8,
            age,
        })
    }

    /// The contents, with the weight limited to [`ENTRY_WEIGHT_MAX`].
    pub(super) fn values(&self) -> EntryValues {
        EntryValues {
            weight: (f64::from(self.weight_millionths) / MILLIONTHS).min(ENTRY_WEIGHT_MAX),
            uncontended_share: f64::from(self.uncontended) / SHARE_UNITS,
            occupancy: f64::from(self.occupancy) / OCCUPANCY_UNITS,
            age_us: u64::from(self.age) * AGE_UNIT_US + HOP_US,
        }
    }
}
