//! Duration of a quota decision (median and 99th percentile) and its number of allocations: `cargo bench -p
//! pointvane-dispatch --bench quota_quantiles`. Each call is timed on its own, so the figures include the
//! cost of reading the clock.

use {
    pointvane_core::{Name, Quota},
    pointvane_dispatch::{AccountShare, FleetView, Quotas},
    std::{hint::black_box, net::SocketAddr, time::Instant},
};

/// Numbers of accounts with requests within the window.
const ACCOUNTS: [usize; 3] = [1, 72, 5_000];
const CALLS: usize = 100_000;
const WINDOW_US: u64 = 5_000_000;
const CALL_INTERVAL_US: u64 = 50;
const QUOTA: Quota = Quota { requests_per_1000_s: 8_000_000, burst: 8_000 };
const FLEET_VIEW: FleetView = FleetView { connected: true, nodes: Some(586), reachable_share: 1.0 };

fn main() {
    for account_count in ACCOUNTS {
        let accounts: Vec<Name> =
            (0..account_count).map(|number| format!("account-{number}").as_str().into()).collect();
        let mut quotas = Quotas::new(WINDOW_US, 0);
        let mut now_us = 2 * WINDOW_US;
        let origin = SocketAddr::from(([10, 0, 0, 1], 7_660));
        let share = |account: &Name| AccountShare {
            account: account.clone(),
            share_per_mille: 700,
            used_per_mille: 900,
            retry_after_ms: 400,
        };
        accounts.iter().for_each(|account| quotas.receive_shares(origin, &[share(account)], now_us));
        accounts.iter().for_each(|account| _ = quotas.admit(account, QUOTA, FLEET_VIEW, now_us, 0.5));
        let mut times_ns: Vec<u128> = (0..CALLS)
            .map(|call| {
                now_us += CALL_INTERVAL_US;
                let account = &accounts[call % account_count];
                let began = Instant::now();
                black_box(quotas.admit(black_box(account), QUOTA, FLEET_VIEW, now_us, 0.5));
                began.elapsed().as_nanos()
            })
            .collect();
        times_ns.sort_unstable();
        let quantile = |share: usize| times_ns[CALLS * share / 100];
        let allocated = allocation_counter::measure(|| {
            black_box(quotas.admit(&accounts[0], QUOTA, FLEET_VIEW, now_us, 0.5));
        });
        println!(
            "{account_count} accounts: p50 {} ns, p99 {} ns, {} allocations",
            quantile(50),
            quantile(99),
            allocated.count_total
        );
    }
}
