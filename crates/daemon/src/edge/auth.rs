use std::collections::HashMap;

use base::{Digest, OrganisationId};
use hyper::{HeaderMap, header::AUTHORIZATION};
use subtle::ConstantTimeEq as _;

use crate::{Settings, configurations::Configurations};

use crate::failure::Failure;

/// Accepted keys of callers and endpoints, stored as digests.
pub(super) struct AuthKeys {
    fleet: Digest,
    organisations: HashMap<Digest, OrganisationId>,
    configurations: Configurations,
}

impl AuthKeys {
    pub(super) fn new(cfg: &Settings, configurations: Configurations) -> Self {
        let organisations =
            cfg.organisation_keys.iter().map(|key| (key.digest, key.organisation.clone()));
        Self {
            fleet: Digest::of(cfg.fleet_key.as_bytes()),
            organisations: organisations.collect(),
            configurations,
        }
    }

    /// Returns the organisation whose key the request carries.
    ///
    /// Keys in the declaration in force take precedence over those in the host's settings.
    pub(super) fn organisation(&self, headers: &HeaderMap) -> Result<OrganisationId, Failure> {
        let presented = bearer_digest(headers)?;
        let in_force = self.configurations.in_force();
        let declared = in_force
            .as_ref()
            .and_then(|in_force| in_force.declaration.organisation_of_key(&presented));
        if let Some(declared) = declared {
            return Ok(declared.id.clone());
        }
        let found = self.organisations.get_key_value(&presented);
        let matching = found.filter(|(known, _)| digests_equal(known, &presented));
        matching.map(|(_, organisation)| organisation.clone()).ok_or_else(Failure::unauthorised)
    }

    /// Checks that the request carries the fleet's key.
    pub(super) fn check_fleet(&self, headers: &HeaderMap) -> Result<(), Failure> {
        let presented = bearer_digest(headers)?;
        if !digests_equal(&self.fleet, &presented) {
            return Err(Failure::unauthorised());
        }
        Ok(())
    }
}

fn bearer_digest(headers: &HeaderMap) -> Result<Digest, Failure> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(Failure::unauthorised());
    };
    let key = value.as_bytes().strip_prefix(b"Bearer ").ok_or_else(Failure::unauthorised)?;
    Ok(Digest::of(key))
}

fn digests_equal(known: &Digest, presented: &Digest) -> bool {
    known.as_bytes().ct_eq(presented.as_bytes()).into()
}
