use std::{error, fmt, sync::Arc};

use base::ServiceId;

/// Why a table of routes can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// A route names a service that the table lacks.
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: ServiceId,
    },
    /// Two routes have the same host and prefix.
    SamePlace {
        /// The host.
        host: Arc<str>,
        /// The prefix.
        prefix: Arc<str>,
    },
    /// A prefix doesn't begin and end with a slash.
    Prefix {
        /// The route.
        route: Arc<str>,
    },
    /// A route's weights add up to zero.
    NoWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A route's timeout is zero.
    NoTimeout {
        /// The route.
        route: Arc<str>,
    },
    /// Two services have the same name.
    SameService(ServiceId),
    /// Two organisations share a key.
    SharedKey,
    /// Two organisations have the same name.
    SameOrganisation(Arc<str>),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route} names the unknown service {service}")
            }
            Self::SamePlace { host, prefix } => {
                write!(f, "two routes share host {host} and prefix {prefix}")
            }
            Self::Prefix { route } => {
                write!(f, "the prefix of route {route} doesn't begin and end with a slash")
            }
            Self::NoWeight { route } => write!(f, "the weights of route {route} add up to 0"),
            Self::NoTimeout { route } => write!(f, "the timeout of route {route} is 0"),
            Self::SameService(name) => write!(f, "two services are named {name}"),
            Self::SharedKey => f.write_str("two organisations share a key"),
            Self::SameOrganisation(name) => write!(f, "two organisations are named {name}"),
        }
    }
}

impl error::Error for Invalid {}
