//! Access control: attributes a request to a client account and decides whether it is served.
//!
//! Checked when a request arrives, and again immediately before each send if the configuration has changed in
//! the meantime. Inputs: the accounts in the configuration, whether the route is public, the digest of the
//! caller's API key, and, if the deployment requires it, the time since the platform last confirmed the
//! accounts.
//!
//! Without configured accounts, every request is served. A public route also serves every request, but
//! attributes those with a known key to its account. Invariant: no request runs for an account that does not
//! hold its key in the current configuration. Tests: `tests/access.rs`.

use {
    pointvane_core::{AccountRule, ErrorKind, KeyDigest, Name, RouteRule},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Client accounts of a configuration, indexed by name and API key.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    by_name: HashMap<Name, Arc<AccountRule>>,
    by_key_prefix: HashMap<u64, Vec<Arc<AccountRule>>>,
}

impl AccountTable {
    /// Builds a table of accounts.
    pub fn new(accounts: Vec<Arc<AccountRule>>) -> Self {
        let mut by_key_prefix: HashMap<u64, Vec<Arc<AccountRule>>> = HashMap::new();
        for account in &accounts {
            for key in &account.keys {
                by_key_prefix.entry(key.prefix()).or_default().push(Arc::clone(account));
            }
        }
        let by_name = accounts.into_iter().map(|account| (account.name.clone(), account)).collect();
        Self { by_name, by_key_prefix }
    }

    /// Returns the account that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<AccountRule>> {
        let candidates = self.by_key_prefix.get(&key.prefix())?;
        candidates.iter().find(|account| account.keys.iter().any(|account_key| account_key.matches(key)))
    }

    /// Returns all accounts in arbitrary order.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountRule>> {
        self.by_name.values()
    }

    /// Returns the account with a name.
    pub fn get(&self, name: &Name) -> Option<&Arc<AccountRule>> {
        self.by_name.get(name)
    }
}

/// Returns the account to which a request is attributed, if any.
///
/// # Errors
///
/// [`ErrorKind::Unauthorized`] if accounts are configured, the route is not public, and the key is missing or
/// unknown.
pub fn account_of(
    accounts: Option<&AccountTable>,
    route: &RouteRule,
    key: Option<&KeyDigest>,
) -> Result<Option<Arc<AccountRule>>, ErrorKind> {
    let Some(accounts) = accounts else { return Ok(None) };
    match key.and_then(|key| accounts.find(key)) {
        Some(account) => Ok(Some(Arc::clone(account))),
        None if route.public => Ok(None),
        None => Err(ErrorKind::Unauthorized),
    }
}

/// Checks that an account was confirmed recently enough, because its key may have been revoked since.
///
/// `confirmation_age` is the time since the platform last confirmed the accounts, `None` if it has not yet
/// done so. `max_confirmation_age` is the maximum that the deployment allows; `None` disables the check.
///
/// # Errors
///
/// [`ErrorKind::AccountsUnconfirmed`] if the maximum is exceeded or the accounts were never confirmed.
pub fn check_confirmed(
    account: Option<&AccountRule>,
    confirmation_age: Option<Duration>,
    max_confirmation_age: Option<Duration>,
) -> Result<(), ErrorKind> {
    let Some(max_age) = max_confirmation_age.filter(|_| account.is_some()) else { return Ok(()) };
    match confirmation_age {
        Some(age) if age <= max_age => Ok(()),
        _ => Err(ErrorKind::AccountsUnconfirmed),
    }
}
