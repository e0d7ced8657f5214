//! Shares of organisations in the tokens that this router admits while engines are short.

use std::sync::Arc;

use base::MonotonicTime;
use route::TokenShares;

use crate::{failure::Failure, gateway::Dialect};

use super::Exchange;

impl<D: Dialect> Exchange<D> {
    /// Checks that the organisation has taken at most its share, before the first attempt.
    ///
    /// # Errors
    ///
    /// Returns a failure with the time after which the organisation may send requests again.
    pub(super) fn check_share(&self) -> Result<(), Failure> {
        let checked = self.with_shares(|shares, now, organisation| shares.check(now, organisation));
        let Some(Err(over)) = checked else { return Ok(()) };
        let (taken, share) = (over.taken, over.share);
        let why = format!(
            "the organisation has taken {taken} tokens, more than its share of {share}, while \
             engines are short"
        );
        Err(Failure::too_many(why, over.retry_after))
    }

    /// Records that the request was admitted, at its first attempt.
    pub(super) fn record_admitted(&self) {
        let tokens = self.held_tokens();
        self.with_shares(|shares, now, organisation| {
            shares.record_admitted(now, organisation, tokens);
        });
    }

    /// Records that the request was refused for lack of capacity.
    pub(super) fn record_shortage(&self) {
        self.with_shares(TokenShares::record_shortage);
    }

    /// Updates the shares of the request's service if they apply: to the first attempt at an engine
    /// for an organisation, in a configuration with quotas.
    fn with_shares<T>(
        &self,
        update: impl FnOnce(&mut TokenShares, MonotonicTime, &Arc<str>) -> T,
    ) -> Option<T> {
        let is_sharing =
            self.gateway.cfg.overload.shares_tokens && self.active_configuration.table.has_quotas();
        if !is_sharing || self.chain.is_none() || !self.progress.tried.is_empty() {
            return None;
        }
        let (organisation, service) = (self.organisation.as_ref()?, self.service()?);
        let mut shares = self.gateway.token_shares.borrow_mut();
        let shares = shares.entry(service.clone()).or_default();
        Some(update(shares, self.gateway.clock.now(), &organisation.name))
    }
}
