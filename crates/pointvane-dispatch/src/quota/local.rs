//! What one node knows of one account: what it has admitted, and the shares that coordinators told it.

use {
    super::{
        FleetContact, QuotaDecision,
        allowance::{Allowance, own_part},
        messages::{AccountShare, AccountUsage, PER_MILLE, ToldUse},
        usage::Usage,
    },
    pointvane_core::{Name, US_PER_MS},
    std::net::SocketAddr,
};

/// Time between two reports on an account that has used little of its quota, in microseconds.
const REPORT_US: u64 = 250 * US_PER_MS;
/// The same near the quota.
const REPORT_NEAR_US: u64 = 100 * US_PER_MS;
/// Part of the quota from which on reports are more frequent, in thousandths.
const NEAR_PER_MILLE: u16 = 300;
/// Time for which a coordinator's share holds, in microseconds.
const SHARE_HOLDS_US: u64 = 1_500 * US_PER_MS;
/// Time without an answer to a report after which the coordinators count as lost, in microseconds: shares that were told before hold no more.
const ANSWER_WITHIN_US: u64 = 250 * US_PER_MS;
/// When a caller should retry that a node refused which knows of no other, in milliseconds: another node may know more.
const RETRY_ELSEWHERE_MS: u32 = 50;

/// A coordinator's share, as it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedShare {
    origin: SocketAddr,
    share_per_mille: u16,
    used_per_mille: u16,
    retry_after_ms: u32,
    received_at_us: u64,
}

impl ReceivedShare {
    fn holds(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.received_at_us) < SHARE_HOLDS_US
    }

    fn drawn(&self, draw: f32) -> QuotaDecision {
        if draw * PER_MILLE < f32::from(self.share_per_mille) {
            QuotaDecision::Admitted
        } else {
            QuotaDecision::Refused { retry_after_ms: self.retry_after_ms }
        }
    }
}

/// What this node knows of one account.
#[derive(Clone, Debug)]
pub struct LocalAccount {
    usage: Usage,
    /// Whether anything was offered since the last report.
    unreported: bool,
    reported_at_us: u64,
    /// When the first report was sent that no coordinator has answered.
    unanswered_since_us: Option<u64>,
    /// The last share of each coordinator.
    shares: Vec<ReceivedShare>,
    /// The greatest use that was told last, and when, in microseconds of the steady clock.
    told: Option<(u16, u64)>,
    allowance: Allowance,
    window_us: u64,
}

/// What a request is decided by, besides what is known of its account.
#[derive(Clone, Copy, Debug)]
pub struct AdmitTerms {
    /// Requests that the account may use in a window.
    pub quota: f64,
    /// What the node sees of the fleet.
    pub contact: FleetContact,
    /// Time since the node started, in microseconds.
    pub life_us: u64,
    pub now_us: u64,
    /// Lies between 0 and 1.
    pub draw: f32,
}

impl LocalAccount {
    /// Nothing was admitted yet, for a window of so many microseconds.
    pub fn new(window_us: u64) -> Self {
        Self {
            usage: Usage::new(window_us),
            unreported: false,
            reported_at_us: 0,
            unanswered_since_us: None,
            shares: Vec::new(),
            told: None,
            allowance: Allowance::default(),
            window_us,
        }
    }

    /// Takes what a coordinator says of the use of the account; of two coordinators the one that knows of more counts.
    fn hear_use(&mut self, used_per_mille: u16, now_us: u64) {
        let knows_less = |(used, at_us): (u16, u64)| {
            used > used_per_mille && now_us.saturating_sub(at_us) < SHARE_HOLDS_US
        };
        if !self.told.is_some_and(knows_less) {
            self.told = Some((used_per_mille, now_us));
        }
    }

    fn told(&self, now_us: u64) -> Option<ToldUse> {
        self.told.map(|(used_per_mille, at_us)| {
            let ago_ms = now_us.saturating_sub(at_us) / US_PER_MS;
            ToldUse { used_per_mille, ago_ms: u32::try_from(ago_ms).unwrap_or(u32::MAX) }
        })
    }

    /// The smallest share that holds.
    fn share(&self, now_us: u64) -> Option<ReceivedShare> {
        let holding = self.shares.iter().filter(|share| share.holds(now_us));
        holding.min_by_key(|share| share.share_per_mille).copied()
    }

    /// Whether a request is admitted.
    pub fn admit(&mut self, terms: &AdmitTerms) -> QuotaDecision {
        let AdmitTerms { contact, now_us, draw, .. } = *terms;
        self.usage.offer(now_us);
        self.unreported = true;
        let decision = match self.share(now_us) {
            _ if !contact.connected || self.are_coordinators_lost(now_us) => self.within_allowance(terms),
            Some(share) => share.drawn(draw),
            None => QuotaDecision::Admitted,
        };
        if decision == QuotaDecision::Admitted {
            self.usage.admit(now_us);
        }
        decision
    }

    /// Decides by this node's own part of the quota.
    fn within_allowance(&mut self, terms: &AdmitTerms) -> QuotaDecision {
        let AdmitTerms { quota, contact, life_us, now_us, draw } = *terms;
        let part = own_part(quota, contact, life_us);
        let admitted = self.usage.admitted(now_us);
        if self.allowance.covers(part, admitted, self.window_us, now_us, draw) {
            QuotaDecision::Admitted
        } else {
            QuotaDecision::Refused { retry_after_ms: RETRY_ELSEWHERE_MS }
        }
    }

    /// Takes back a request that was admitted at a time and not sent.
    pub fn give_back(&mut self, admitted_at_us: u64) {
        self.usage.give_back(admitted_at_us);
        self.unreported = true;
    }

    /// Takes a coordinator's share.
    pub fn receive_share(&mut self, origin: SocketAddr, share: &AccountShare, now_us: u64) {
        self.unanswered_since_us = None;
        self.hear_use(share.used_per_mille, now_us);
        self.shares.retain(|other| other.origin != origin && other.holds(now_us));
        self.shares.push(ReceivedShare {
            origin,
            share_per_mille: share.share_per_mille,
            used_per_mille: share.used_per_mille,
            retry_after_ms: share.retry_after_ms,
            received_at_us: now_us,
        });
    }

    /// Whether nothing of the window is left, and no share holds.
    pub fn is_idle(&mut self, now_us: u64) -> bool {
        self.usage.is_idle(now_us) && self.share(now_us).is_none()
    }

    /// Whether no coordinator can know of its use.
    pub fn was_never_reported(&self) -> bool {
        self.reported_at_us == 0
    }

    /// Has it reported at once.
    pub fn report_again(&mut self) {
        self.unreported = true;
        self.reported_at_us = 0;
    }

    /// Whether its use is to be reported now.
    pub fn is_report_due(&self, now_us: u64) -> bool {
        let share = self.share(now_us);
        let near = share.is_some_and(|share| share.used_per_mille >= NEAR_PER_MILLE);
        let interval_us = if near { REPORT_NEAR_US } else { REPORT_US };
        // One that was not answered is sent again: the answer tells whether the coordinators can be reached.
        let is_wanted = self.unreported || self.unanswered_since_us.is_some();
        is_wanted && now_us.saturating_sub(self.reported_at_us) >= interval_us
    }

    /// Its use, for its coordinators.
    pub fn take_report(&mut self, account: &Name, now_us: u64) -> AccountUsage {
        self.unreported = false;
        self.reported_at_us = now_us;
        self.unanswered_since_us.get_or_insert(now_us);
        AccountUsage {
            account: account.clone(),
            admitted: self.usage.admitted_by_fifths(now_us),
            offered_per_1000_s: self.usage.offered_per_1000_s(now_us),
            told: self.told(now_us),
        }
    }

    fn are_coordinators_lost(&self, now_us: u64) -> bool {
        self.unanswered_since_us.is_some_and(|since_us| now_us.saturating_sub(since_us) >= ANSWER_WITHIN_US)
    }
}
