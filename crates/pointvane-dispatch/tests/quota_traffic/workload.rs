//! Accounts of a simulated fleet, and the demand of each.

use {
    pointvane_core::{Name, Quota},
    rand::{Rng, rngs::SmallRng},
    std::fmt,
};

/// Rates of the accounts in turn, in requests per second.
const RATES_PER_S: [u64; 5] = [1, 5, 30, 85, 200];
/// Usual demand of an account, as a fraction of its rate.
const USUAL_LOAD: f64 = 1.0 / 1.6;
/// Demand of an account that is over its quota, as a multiple of its rate.
const OVERLOAD: f64 = 4.0;
/// One in so many accounts of each rate is over its quota with [`Overload::Some`].
const OVERLOADED_ONE_IN: usize = 20;

/// Accounts whose demand exceeds their quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overload {
    /// No account.
    None,
    /// 5 % of the accounts, or one if that is less.
    Some,
    /// Every account.
    Every,
}

impl fmt::Display for Overload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "none",
            Self::Some => "some",
            Self::Every => "every",
        })
    }
}

/// Size and load of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub nodes: usize,
    pub accounts: usize,
    pub overload: Overload,
    /// Time with load before costs are recorded.
    pub warm_up_us: u64,
    /// Time during which costs are recorded.
    pub measured_us: u64,
}

impl Workload {
    fn is_over_quota(&self, account: usize) -> bool {
        let of_rate = account / RATES_PER_S.len();
        match self.overload {
            Overload::None => false,
            Overload::Some if self.accounts < OVERLOADED_ONE_IN => account == self.accounts / 2,
            Overload::Some => of_rate.is_multiple_of(OVERLOADED_ONE_IN),
            Overload::Every => true,
        }
    }
}

/// One account.
#[derive(Clone, Debug)]
pub struct Account {
    pub name: Name,
    pub quota: Quota,
    pub is_over_quota: bool,
}

/// All accounts with the sums of their demands.
pub struct Accounts {
    accounts: Vec<Account>,
    /// Demand of each account and those before it, in requests per second.
    cumulative_demand_per_s: Vec<f64>,
}

impl Accounts {
    pub fn new(workload: &Workload) -> Self {
        let mut sum = 0.0;
        let (accounts, cumulative_demand_per_s) = (0..workload.accounts)
            .map(|number| {
                let rate = RATES_PER_S[number % RATES_PER_S.len()];
                let is_over_quota = workload.is_over_quota(number);
                sum += rate as f64 * if is_over_quota { OVERLOAD } else { USUAL_LOAD };
                let name = Name::from(format!("client-account-{number:04}").as_str());
                let quota = Quota { requests_per_1000_s: rate * 1_000, burst: rate };
                (Account { name, quota, is_over_quota }, sum)
            })
            .unzip();
        Self { accounts, cumulative_demand_per_s }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter()
    }

    /// Demand of all accounts, in requests per second.
    pub fn demand_per_s(&self) -> f64 {
        self.cumulative_demand_per_s.last().copied().unwrap_or_default()
    }

    /// Chooses an account at random, weighted by demand.
    pub fn choose(&self, rng: &mut SmallRng) -> Account {
        let at = rng.random_range(0.0..self.demand_per_s());
        let index = self.cumulative_demand_per_s.partition_point(|sum| *sum <= at);
        self.accounts[index].clone()
    }
}
