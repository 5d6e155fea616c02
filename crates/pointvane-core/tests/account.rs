//! Tests of client accounts: key digests and quotas.

use {
    googletest::prelude::*,
    pointvane_core::{KeyDigest, Quota},
};

#[gtest]
fn digests_match_only_for_equal_keys() {
    let digest = KeyDigest::of(b"492cqf75rjvz48wuakn2");
    expect_that!(digest.matches(&KeyDigest::of(b"492cqf75rjvz48wuakn2")), eq(true));
    expect_that!(digest.matches(&KeyDigest::of(b"492cqf75rjvz48wuakn3")), eq(false));
    expect_that!(digest.matches(&KeyDigest::of(b"")), eq(false));
}

#[gtest]
fn debug_output_of_a_digest_hides_it() {
    expect_that!(format!("{:?}", KeyDigest::of(b"secret")), eq("KeyDigest(..)"));
}

#[gtest]
fn quota_of_a_window_is_its_rate_plus_the_burst() {
    let quota = Quota { requests_per_1000_s: 1_500, burst: 4 };
    expect_that!(quota.requests_in_window(5_000_000), eq(11.5));
}
