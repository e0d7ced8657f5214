//! The part of the traffic that an exception or a query covers.

use std::fmt;

use base::{DataCentreId, EndpointId, ModelId, OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

/// A part of the traffic; an omitted dimension matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scope {
    /// The calling organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// The requested model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// The requested plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// The data centre of the endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
    /// The endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
}

impl Scope {
    /// Returns the scope of all of an organisation's traffic.
    pub fn organisation(id: OrganisationId) -> Self {
        Self { organisation: Some(id), ..Self::default() }
    }

    /// Returns the scope of all of an endpoint's traffic.
    pub fn endpoint(id: EndpointId) -> Self {
        Self { endpoint: Some(id), ..Self::default() }
    }

    /// Returns whether every dimension of this scope has the same value in `other`.
    pub fn covers(&self, other: &Self) -> bool {
        fn matches<T: PartialEq>(own: &Option<T>, other: &Option<T>) -> bool {
            own.is_none() || own == other
        }
        matches(&self.organisation, &other.organisation)
            && matches(&self.model, &other.model)
            && matches(&self.service, &other.service)
            && matches(&self.data_centre, &other.data_centre)
            && matches(&self.endpoint, &other.endpoint)
    }

    pub(crate) fn dimensions(&self) -> Dimensions {
        let named = [
            (self.endpoint.is_some(), Dimensions::ENDPOINT),
            (self.organisation.is_some(), Dimensions::ORGANISATION),
            (self.service.is_some(), Dimensions::SERVICE),
            (self.model.is_some(), Dimensions::MODEL),
            (self.data_centre.is_some(), Dimensions::DATA_CENTRE),
        ];
        named
            .into_iter()
            .filter(|(is_named, _)| *is_named)
            .fold(Dimensions::NONE, |all, (_, dimension)| all.or(dimension))
    }
}

/// A set of scope dimensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Dimensions(u8);

impl Dimensions {
    pub(crate) const NONE: Self = Self(0);
    pub(crate) const DATA_CENTRE: Self = Self(1);
    pub(crate) const MODEL: Self = Self(2);
    pub(crate) const SERVICE: Self = Self(4);
    pub(crate) const ORGANISATION: Self = Self(8);
    pub(crate) const ENDPOINT: Self = Self(16);
    pub(crate) const ALL: Self = Self(31);

    pub(crate) const fn or(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    pub(crate) const fn is_within(self, other: Self) -> bool {
        self.0 & !other.0 == 0
    }

    /// Returns a rank that is higher for a narrower scope: by number of dimensions, then by the
    /// narrowest dimension.
    pub(crate) const fn specificity(self) -> (u32, u8) {
        (self.0.count_ones(), self.0)
    }
}

impl fmt::Display for Dimensions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = [
            (Self::ORGANISATION, "organisation"),
            (Self::MODEL, "model"),
            (Self::SERVICE, "service"),
            (Self::DATA_CENTRE, "data-centre"),
            (Self::ENDPOINT, "endpoint"),
        ];
        let named: Vec<_> = names
            .into_iter()
            .filter(|(dimension, _)| dimension.is_within(*self))
            .map(|(_, name)| name)
            .collect();
        f.write_str(&named.join(", "))
    }
}
