//! Caller authorization: the API key of a request, its client account and the charge on the account's quota.

use {
    crate::{answer::Refused, node::Node, quota::QuotaCharge, request::CallerRequest},
    hyper::{HeaderMap, header::AUTHORIZATION},
    pointvane_core::{ErrorKind, KeyDigest, PlatformAdapter},
    pointvane_dispatch::{QuotaDecision, RoutedRequest, check_confirmed},
    std::time::Duration,
};

impl<A: PlatformAdapter> Node<A> {
    /// Digest of the API key in the `Authorization` header; none if the header is missing, repeated or holds
    /// no key.
    pub fn presented_key(&self, headers: &HeaderMap) -> Option<KeyDigest> {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        match (values.next(), values.next()) {
            (Some(value), None) => self.adapter.key(value.as_bytes()).map(KeyDigest::of),
            _ => None,
        }
    }

    /// Attaches the client account of the presented key to a routed request.
    ///
    /// # Errors
    /// When the route does not admit the key, or the accounts were last confirmed too long ago.
    pub fn authorize(
        &self,
        routed: RoutedRequest,
        key: Option<&KeyDigest>,
    ) -> Result<RoutedRequest, Refused> {
        let account = self.dispatcher.routes().account_of(&routed.route, key)?;
        let confirmed_ago = self.platform.state().age_ms(self.now_us()).map(Duration::from_millis);
        check_confirmed(account.as_deref(), confirmed_ago, self.settings().limits.accounts_unconfirmed)?;
        Ok(routed.with_account(account))
    }

    /// Charges a request to its account's quota; none if it has no account, or the account has no quota.
    ///
    /// # Errors
    /// [`ErrorKind::QuotaExceeded`] with a time to retry when the quota is used up.
    pub fn charge(&self, routed: &RoutedRequest) -> Result<Option<QuotaCharge>, Refused> {
        let Some(account) = &routed.account else { return Ok(None) };
        let Some(quota) = account.quota else { return Ok(None) };
        let (now_us, draw) = (self.now_us(), self.dispatcher.draw());
        let fleet_view = self.fleet.view(&self.settings(), now_us);
        let decision = self.dispatcher.quotas.admit(&account.name, quota, fleet_view, now_us, draw);
        if self.dispatcher.quotas.borrow_mut().has_unreported_account() {
            self.quotas_used.notify_one();
        }
        self.report.quota_decided(decision == QuotaDecision::Admitted);
        match decision {
            QuotaDecision::Admitted => {
                Ok(Some(QuotaCharge::new(&self.dispatcher.quotas, account.name.clone(), now_us)))
            }
            QuotaDecision::Refused { retry_after_ms } => {
                Err(Refused { retry_after_ms: Some(retry_after_ms), ..ErrorKind::QuotaExceeded.into() })
            }
        }
    }

    /// Whether the key of a request still maps to the same account, or to none as before, in the current
    /// configuration.
    pub fn is_key_still_valid(&self, request: &CallerRequest) -> bool {
        let routes = self.dispatcher.routes();
        if routes.version() == request.routed.version {
            return true;
        }
        let account = routes.account_of(&request.routed.route, request.key.as_ref());
        let account_before = request.routed.account.as_ref().map(|account| &account.name);
        account.is_ok_and(|account| account.as_ref().map(|account| &account.name) == account_before)
    }
}
