//! Attribution of requests to client accounts, and refusal of requests without access.

mod common;

use {
    common::{configuration, route},
    googletest::prelude::*,
    pointvane_core::{AccountRule, ErrorKind, KeyDigest, RouteKind, RouteRule, RoutingConfiguration},
    pointvane_dispatch::{AllowedRegions, RouteTable, check_confirmed},
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
};

fn account(name: &str, keys: &[&str], priority: Option<u32>) -> Arc<AccountRule> {
    Arc::new(AccountRule {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority,
        quota: None,
        allowed_regions: Vec::new(),
    })
}

fn public(public: bool) -> RouteRule {
    RouteRule { public, ..route(RouteKind::Safe) }
}

fn table(accounts: Option<Vec<Arc<AccountRule>>>) -> RouteTable {
    let routes = vec![Arc::new(RouteRule { priority: 2, ..public(false) })];
    RouteTable::new(RoutingConfiguration { accounts, routes, ..configuration(1) })
}

/// Returns the name of the account to which a key is attributed.
fn account_name(
    table: &RouteTable,
    route: &RouteRule,
    key: Option<&str>,
) -> std::result::Result<Option<String>, ErrorKind> {
    let digest = key.map(|key| KeyDigest::of(key.as_bytes()));
    let account = table.account_of(route, digest.as_ref())?;
    Ok(account.map(|account| account.name.to_string()))
}

#[gtest]
fn key_is_attributed_to_the_account_that_holds_it() {
    let table = table(Some(vec![
        account("a", &["1", "2"], None),
        account("b", &["3"], None),
        account("c", &[], None),
    ]));
    for (key, name) in [("1", "a"), ("2", "a"), ("3", "b")] {
        expect_that!(account_name(&table, &public(false), Some(key)), ok(some(eq(name))));
        expect_that!(account_name(&table, &public(true), Some(key)), ok(some(eq(name))));
    }
}

#[gtest]
fn unknown_key_is_refused_unless_the_route_is_public() {
    let table = table(Some(vec![account("a", &["1"], None)]));
    for key in [None, Some("4"), Some("")] {
        expect_that!(account_name(&table, &public(false), key), err(eq(&ErrorKind::Unauthorized)));
        expect_that!(account_name(&table, &public(true), key), ok(none()));
    }
}

#[gtest]
fn absent_account_list_allows_all_and_empty_list_allows_none() {
    expect_that!(account_name(&table(None), &public(false), Some("1")), ok(none()));
    expect_that!(
        account_name(&table(Some(Vec::new())), &public(false), Some("1")),
        err(eq(&ErrorKind::Unauthorized))
    );
}

#[gtest]
fn account_priority_overrides_route_priority() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut priority = |account_priority: Option<u32>| {
        let routed = table(None).route("h", "/", &mut rng).unwrap();
        routed.with_account(Some(account("a", &[], account_priority))).route.priority
    };
    expect_that!(priority(None), eq(2));
    expect_that!(priority(Some(0)), eq(0));
    expect_that!(priority(Some(2)), eq(2));
}

#[gtest]
fn table_returns_the_configured_accounts() {
    let accounts = vec![account("a", &["1", "2"], Some(1))];
    expect_that!(table(Some(accounts.clone())).configuration().accounts, some(eq(&accounts)));
    expect_that!(table(None).configuration().accounts, none());
}

#[gtest]
fn unconfirmed_keys_are_refused_if_the_deployment_sets_a_maximum_age() {
    let account = account("a", &["1"], None);
    let seconds = |seconds| Some(Duration::from_secs(seconds));
    let refused = err(eq(ErrorKind::AccountsUnconfirmed));
    expect_that!(check_confirmed(Some(&account), seconds(6), None), ok(()), "no maximum age is set");
    expect_that!(check_confirmed(Some(&account), seconds(5), seconds(5)), ok(()));
    expect_that!(check_confirmed(Some(&account), seconds(6), seconds(5)), refused);
    expect_that!(check_confirmed(Some(&account), None, seconds(5)), err(eq(ErrorKind::AccountsUnconfirmed)));
    expect_that!(check_confirmed(None, seconds(6), seconds(5)), ok(()), "no account to confirm");
}

#[gtest]
fn region_must_be_allowed_by_both_route_and_account() {
    let regions = |of_route: &[&str], of_account: &[&str]| AllowedRegions {
        of_route: of_route.iter().map(|name| (*name).into()).collect(),
        of_account: of_account.iter().map(|name| (*name).into()).collect(),
    };
    let (north, south) = ("north".into(), "south".into());
    expect_that!(regions(&[], &[]).allow(None), eq(true));
    expect_that!(regions(&["north"], &[]).allow(Some(&north)), eq(true));
    expect_that!(regions(&["north"], &[]).allow(Some(&south)), eq(false));
    expect_that!(regions(&["north"], &["south"]).allow(Some(&north)), eq(false));
    expect_that!(regions(&["north"], &["south", "north"]).allow(Some(&north)), eq(true));
    expect_that!(regions(&[], &["north"]).allow(None), eq(false), "the region is unknown");
}
