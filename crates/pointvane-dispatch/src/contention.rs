//! Contention: how much room the upstreams of a service have in each data centre.
//!
//! Inputs: every load report that this node receives, with the share of slots in use and whether the upstream
//! was uncontended by it (see [`Pool::is_uncontended`]). Reports lose half of their weight every
//! [`REPORT_HALF_LIFE_US`], since load shifts within a second. Without reports there is no estimate, and
//! callers of [`Pool::contention`] decide as if the service were not contended. Tests: `tests/contention.rs`.

use {
    crate::pool::Pool,
    pointvane_core::Name,
    std::collections::{BTreeMap, HashMap},
};

/// Time in which the weight of a load report is halved, in microseconds.
const REPORT_HALF_LIFE_US: f64 = 300_000.0;
/// Weight, in reports, below which an estimate is no longer used.
const WEIGHT_MIN: f64 = 0.25;

/// Contention of the upstreams of one service in one data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    /// Share of the recent load reports by which an upstream was uncontended, from 0 to 1.
    pub uncontended_share: f32,
    /// Mean share of the slots in use by these reports; above 1 where requests are queued.
    pub occupancy: f32,
    /// Number of reports behind the estimate, older ones weighted less.
    pub reports: f32,
}

/// What one load report says about contention.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ContentionSample {
    pub(crate) is_uncontended: bool,
    /// Share of the upstream's slots in use.
    pub(crate) occupancy: f32,
}

/// Exponentially decaying sums over the samples of one service and data centre.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSums {
    weight: f64,
    uncontended: f64,
    occupancy: f64,
    updated_at_us: u64,
}

impl DecayingSums {
    fn record(&mut self, sample: ContentionSample, now_us: u64) {
        *self = self.decayed(now_us);
        self.weight += 1.0;
        self.uncontended += f64::from(u8::from(sample.is_uncontended));
        self.occupancy += f64::from(sample.occupancy);
    }

    fn decayed(&self, now_us: u64) -> Self {
        let age_us = now_us.saturating_sub(self.updated_at_us);
        let factor = (-(age_us as f64) / REPORT_HALF_LIFE_US).exp2();
        Self {
            weight: self.weight * factor,
            uncontended: self.uncontended * factor,
            occupancy: self.occupancy * factor,
            updated_at_us: self.updated_at_us.max(now_us),
        }
    }

    fn contention(&self, now_us: u64) -> Option<Contention> {
        let sums = self.decayed(now_us);
        (sums.weight >= WEIGHT_MIN).then(|| Contention {
            uncontended_share: (sums.uncontended / sums.weight) as f32,
            occupancy: (sums.occupancy / sums.weight) as f32,
            reports: sums.weight as f32,
        })
    }
}

/// Contention by service and data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct ContentionTable {
    by_service: HashMap<Name, BTreeMap<Name, DecayingSums>>,
}

impl ContentionTable {
    /// Records what a load report of an upstream says.
    pub(crate) fn record(
        &mut self,
        service: &Name,
        data_centre: &Name,
        sample: ContentionSample,
        now_us: u64,
    ) {
        let by_data_centre = match self.by_service.get_mut(service) {
            Some(by_data_centre) => by_data_centre,
            None => self.by_service.entry(service.clone()).or_default(),
        };
        match by_data_centre.get_mut(data_centre) {
            Some(sums) => sums.record(sample, now_us),
            None => by_data_centre.entry(data_centre.clone()).or_default().record(sample, now_us),
        }
    }

    fn get(&self, service: &Name, data_centre: &Name, now_us: u64) -> Option<Contention> {
        self.by_service.get(service)?.get(data_centre)?.contention(now_us)
    }
}

impl Pool {
    /// Contention of a service's upstreams in a data centre; none without recent reports.
    pub fn contention(&self, service: &Name, data_centre: &Name, now_us: u64) -> Option<Contention> {
        self.contention.get(service, data_centre, now_us)
    }

    /// Contention of a service's upstreams over all data centres that may get work; none without recent
    /// reports.
    pub fn service_contention(&self, service: &Name, now_us: u64) -> Option<Contention> {
        let by_data_centre = self.contention.by_service.get(service)?;
        let active = by_data_centre.keys().filter(|name| !self.evacuations.is_evacuated(name));
        let estimates = active.filter_map(|name| self.contention(service, name, now_us));
        let sums = estimates.map(|contention| {
            let Contention { uncontended_share, occupancy, reports } = contention;
            (uncontended_share * reports, occupancy * reports, reports)
        });
        let sum = sums.fold((0.0, 0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1, sum.2 + part.2));
        let (uncontended, occupancy, reports) = sum;
        (reports > 0.0).then(|| Contention {
            uncontended_share: uncontended / reports,
            occupancy: occupancy / reports,
            reports,
        })
    }
}
