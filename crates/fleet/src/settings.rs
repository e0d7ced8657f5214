//! The settings, their built-in values and the scopes in which an exception may change them.

use serde::{Deserialize, Serialize};

use crate::{
    scope::Dimensions,
    setting::{
        ByteLimit, Count, HedgeDelay, KvTransfer, Method, Methods, PlacementLevel, Priority, Ratio,
        Retention, RoutingPolicy, Share, Timeout, Weight, WeightLoads,
    },
};

impl Settings {
    /// Returns whether a call to a plain service by this HTTP method is idempotent.
    pub fn may_repeat(&self, method: &str) -> bool {
        method.parse().is_ok_and(|method: Method| self.idempotent_methods.contains(method))
    }
}

/// A setting's name and the scopes in which it may be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingKey {
    /// The name in declarations.
    pub name: &'static str,
    /// The dimensions that an exception's scope may use.
    pub(crate) dimensions: Dimensions,
    /// Whether it may be set in `[defaults]`.
    pub(crate) in_defaults: bool,
}

/// A setting and its value, as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingValue {
    /// The setting.
    pub key: SettingKey,
    /// Its value.
    pub value: String,
}

macro_rules! settings {
    ($($(#[$doc:meta])* $field:ident: $kind:ty = $built_in:expr, $name:literal, $dimensions:expr, $in_defaults:literal;)*) => {
        /// The effective settings for one scope at one time.
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct Settings {
            $($(#[$doc])* pub $field: $kind,)*
        }

        impl Default for Settings {
            fn default() -> Self {
                Self { $($field: $built_in,)* }
            }
        }

        impl Settings {
            /// Returns every setting with its value.
            pub fn values(&self) -> Vec<SettingValue> {
                let all = Overrides { $($field: Some(self.$field),)* };
                all.values()
            }
        }

        /// The settings that one layer of a declaration overrides.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Overrides {
            $(
                $(#[$doc])*
                #[serde(rename = $name, default, skip_serializing_if = "Option::is_none")]
                pub $field: Option<$kind>,
            )*
        }

        impl Overrides {
            /// Overrides the values in `settings`.
            pub fn apply_to(&self, settings: &mut Settings) {
                $(if let Some(value) = self.$field {
                    settings.$field = value;
                })*
            }

            /// Returns the overridden settings with their values.
            pub fn values(&self) -> Vec<SettingValue> {
                let mut values = Vec::new();
                $(if let Some(value) = self.$field {
                    let key = SettingKey {
                        name: $name,
                        dimensions: $dimensions,
                        in_defaults: $in_defaults,
                    };
                    values.push(SettingValue { key, value: value.to_string() });
                })*
                values
            }
        }
    };
}

const ANY: Dimensions = Dimensions::ALL;
const ORGANISATION: Dimensions = Dimensions::ORGANISATION;
const LOCATION: Dimensions = Dimensions::ENDPOINT.or(Dimensions::DATA_CENTRE);
const REQUEST: Dimensions = Dimensions::ORGANISATION.or(Dimensions::MODEL).or(Dimensions::SERVICE);
const NONE: Dimensions = Dimensions::NONE;

settings! {
    /// The policy that chooses an endpoint.
    routing_policy: RoutingPolicy = RoutingPolicy::Warm, "routing-policy", REQUEST, true;
    /// Weight of a cached prefix in an endpoint's score.
    warmth_weight: Weight = Weight::new(1.0), "warmth-weight", REQUEST, true;
    /// Weight of the expected queueing time in an endpoint's score.
    wait_weight: Weight = Weight::new(1.0), "wait-weight", REQUEST, true;
    /// Depth of a prefix at which its home is chosen, in blocks.
    placement_level: PlacementLevel = PlacementLevel::clamped(4), "placement-level", REQUEST, true;
    /// The sources from which engines may fetch cached blocks.
    kv_transfer: KvTransfer = KvTransfer::Off, "kv-transfer", REQUEST, true;
    /// Timeout of a whole request.
    request_timeout: Timeout = Timeout::from_millis(120_000), "request-timeout", ANY, true;
    /// Timeout until the first token.
    first_token_timeout: Timeout = Timeout::from_millis(10_000), "first-token-timeout", ANY, true;
    /// Timeout for a connection to an endpoint.
    connect_timeout: Timeout = Timeout::from_millis(500), "connect-timeout", ANY, true;
    /// Maximum time that a request may be queued.
    queue_deadline: Timeout = Timeout::from_millis(2_000), "queue-deadline", REQUEST, true;
    /// Retry budget, as a ratio of retries to requests.
    retry_budget: Ratio = Ratio::new(0.1), "retry-budget", REQUEST, true;
    /// Delay after which a late request is hedged with a second endpoint.
    hedge_delay: HedgeDelay = HedgeDelay::Off, "hedge-delay", REQUEST, true;
    /// The organisation's weight in fair scheduling.
    share: Share = Share::clamped(1), "share", ORGANISATION, true;
    /// Maximum requests of an organisation in flight.
    max_concurrent_requests: Count = Count::clamped(256), "max-concurrent-requests", ORGANISATION, true;
    /// Maximum open connections of an organisation.
    max_connections: Count = Count::clamped(1024), "max-connections", ORGANISATION, true;
    /// Maximum size of a prompt, in bytes.
    max_prompt_bytes: ByteLimit = ByteLimit::clamped(4_194_304), "max-prompt-bytes", REQUEST, true;
    /// Priority of requests in the engines' queues.
    priority: Priority = Priority::clamped(5), "priority", REQUEST, true;
    /// Whether a non-idempotent call needs an idempotency key.
    require_idempotency_key: bool = false, "require-idempotency-key", REQUEST, true;
    /// HTTP methods whose calls to plain services are idempotent.
    idempotent_methods: Methods = Methods::READS, "idempotent-methods", REQUEST, true;
    /// How long a settled call is stored.
    claim_retention: Retention = Retention::from_millis(86_400_000), "claim-retention", ORGANISATION, true;
    /// Maximum settled calls stored per organisation, for known and unknown outcomes each.
    claim_retention_count: Count = Count::clamped(10_000), "claim-retention-count", ORGANISATION, true;
    /// Maximum open claims of an organisation.
    max_open_claims: Count = Count::clamped(256), "max-open-claims", ORGANISATION, true;
    /// How long a duplicate call waits for the first one's response.
    claim_wait: Timeout = Timeout::from_millis(10_000), "claim-wait", REQUEST, true;
    /// How long after it proposed a claim the owner may begin to send the call.
    claim_send_deadline: Timeout = Timeout::from_millis(2_000), "claim-send-deadline", ORGANISATION, true;
    /// Maximum size of a response body stored for duplicate calls, in bytes.
    max_response_bytes: ByteLimit = ByteLimit::clamped(65_536), "max-answer-bytes", ORGANISATION, true;
    /// Maximum servers that load weights at once across the site.
    max_weight_loads: WeightLoads = WeightLoads::MAX, "max-weight-loads", NONE, true;
    /// Whether an endpoint is drained: it gets no new requests.
    drain: bool = false, "drain", LOCATION, false;
}
