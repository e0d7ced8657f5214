//! The scope of the cached parts that an attempt may use.

use prefix::CacheScope;

use crate::gateway::Dialect;

use super::Exchange;

impl<D: Dialect> Exchange<D> {
    /// Moves the request to the scope of the configuration that is active now.
    ///
    /// A request may wait, be retried or resume while an organisation becomes isolated, so each
    /// attempt calls this before its endpoint is chosen and once more before it is sent.
    pub(super) fn update_scope(&mut self) {
        let scope = self.current_scope();
        if scope == self.scope {
            return;
        }
        log::info!(request:% = self.caller_request.id, from:% = self.scope, to:% = scope,
            configuration:% = self.gateway.configuration_number();
            "cache scope changed since the last attempt");
        self.chain = self.caller_request.prompt.as_ref().map(|prompt| prompt.chain(&scope));
        self.scope = scope;
    }

    /// Returns the scope by the active configuration.
    ///
    /// While the host can't confirm its configuration, each organisation counts as isolated.
    fn current_scope(&self) -> CacheScope {
        let organisation = self.organisation.as_deref();
        match self.gateway.active_configuration() {
            Some(active) if self.gateway.may_use(&active) => active.table.cache_scope(organisation),
            Some(_) | None => organisation.map_or_else(CacheScope::anonymous, |organisation| {
                CacheScope::isolated(&organisation.name)
            }),
        }
    }
}
