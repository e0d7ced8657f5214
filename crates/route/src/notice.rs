use base::RequestRate;

/// What an endpoint states about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointNotice {
    /// Whether it leaves and accepts no new requests.
    pub leaving: bool,
    /// The rate of requests that it accepts from all routers together, while it states one.
    pub limit: Option<RequestRate>,
}
