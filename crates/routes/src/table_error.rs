use std::{error, fmt, sync::Arc};

use base::ServiceId;

/// Reason why a [`Table`](crate::Table) can't be built.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// A route refers to a service that is not in the table.
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: ServiceId,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// The host.
        host: Arc<str>,
        /// The prefix.
        prefix: Arc<str>,
    },
    /// A prefix doesn't begin and end with a slash.
    InvalidPrefix {
        /// The route.
        route: Arc<str>,
    },
    /// A route's weights add up to zero.
    ZeroWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A route's timeout is zero.
    ZeroTimeout {
        /// The route.
        route: Arc<str>,
    },
    /// Two services have the same name.
    DuplicateService(ServiceId),
    /// Two organisations have the same key.
    DuplicateKey,
    /// Two organisations have the same name.
    DuplicateOrganisation(Arc<str>),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route} refers to unknown service {service}")
            }
            Self::DuplicateRoute { host, prefix } => {
                write!(f, "two routes have host {host} and prefix {prefix}")
            }
            Self::InvalidPrefix { route } => {
                write!(f, "the prefix of route {route} doesn't begin and end with a slash")
            }
            Self::ZeroWeight { route } => write!(f, "the weights of route {route} add up to 0"),
            Self::ZeroTimeout { route } => write!(f, "the timeout of route {route} is 0"),
            Self::DuplicateService(name) => write!(f, "two services are named {name}"),
            Self::DuplicateKey => f.write_str("two organisations have the same key"),
            Self::DuplicateOrganisation(name) => write!(f, "two organisations are named {name}"),
        }
    }
}

impl error::Error for TableError {}
