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
    /// Returns whether a call of a plain service by `method`, as HTTP spells it, may be repeated.
    pub fn may_repeat(&self, method: &str) -> bool {
        method.parse().is_ok_and(|method: Method| self.idempotent_methods.contains(method))
    }
}

/// A setting's name and where an exception may change it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingKey {
    /// The name, as a declaration spells it.
    pub name: &'static str,
    /// The dimensions that an exception's scope may use.
    pub(crate) dimensions: Dimensions,
    /// Whether `[defaults]` may hold it.
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
        /// The settings that hold for one scope at one time.
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
            /// Lists every setting with its value.
            pub fn values(&self) -> Vec<SettingValue> {
                let all = Overrides { $($field: Some(self.$field),)* };
                all.values()
            }
        }

        /// Settings that a declaration gives; the rest keep their values.
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
            /// Puts the given values into `settings`.
            pub fn apply_to(&self, settings: &mut Settings) {
                $(if let Some(value) = self.$field {
                    settings.$field = value;
                })*
            }

            /// Lists the given settings with their values.
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
    /// How an endpoint is chosen.
    routing_policy: RoutingPolicy = RoutingPolicy::Warm, "routing-policy", REQUEST, true;
    /// Weight of a warm prefix in an endpoint's score.
    warmth_weight: Weight = Weight::new(1.0), "warmth-weight", REQUEST, true;
    /// Weight of the expected wait in an endpoint's score.
    wait_weight: Weight = Weight::new(1.0), "wait-weight", REQUEST, true;
    /// Depth of a prefix at which its home is chosen, in blocks.
    placement_level: PlacementLevel = PlacementLevel::clamped(4), "placement-level", REQUEST, true;
    /// Where engines may fetch cached blocks from.
    kv_transfer: KvTransfer = KvTransfer::Off, "kv-transfer", REQUEST, true;
    /// Time for a whole request.
    request_timeout: Timeout = Timeout::from_millis(120_000), "request-timeout", ANY, true;
    /// Time until the first token.
    first_token_timeout: Timeout = Timeout::from_millis(10_000), "first-token-timeout", ANY, true;
    /// Time to connect to an endpoint.
    connect_timeout: Timeout = Timeout::from_millis(500), "connect-timeout", ANY, true;
    /// Time that a request may wait for its turn.
    queue_deadline: Timeout = Timeout::from_millis(2_000), "queue-deadline", REQUEST, true;
    /// Retries allowed for each request.
    retry_budget: Ratio = Ratio::new(0.1), "retry-budget", REQUEST, true;
    /// When a second endpoint is asked for a late answer.
    hedge_delay: HedgeDelay = HedgeDelay::Off, "hedge-delay", REQUEST, true;
    /// The organisation's weight when requests compete.
    share: Share = Share::clamped(1), "share", ORGANISATION, true;
    /// Requests that an organisation may have in flight.
    max_concurrent_requests: Count = Count::clamped(256), "max-concurrent-requests", ORGANISATION, true;
    /// Connections that an organisation may have open.
    max_connections: Count = Count::clamped(1024), "max-connections", ORGANISATION, true;
    /// Longest prompt, in bytes.
    max_prompt_bytes: ByteLimit = ByteLimit::clamped(4_194_304), "max-prompt-bytes", REQUEST, true;
    /// Order in which engines serve waiting requests.
    priority: Priority = Priority::clamped(5), "priority", REQUEST, true;
    /// Whether a call that may not be repeated needs an idempotency key.
    require_idempotency_key: bool = false, "require-idempotency-key", REQUEST, true;
    /// Methods of plain services whose calls may be repeated.
    idempotent_methods: Methods = Methods::READS, "idempotent-methods", REQUEST, true;
    /// How long a settled call is remembered.
    claim_retention: Retention = Retention::from_millis(86_400_000), "claim-retention", ORGANISATION, true;
    /// How many settled calls of an organisation are remembered.
    claim_retention_count: Count = Count::clamped(10_000), "claim-retention-count", ORGANISATION, true;
    /// How many claims an organisation may have open.
    max_open_claims: Count = Count::clamped(256), "max-open-claims", ORGANISATION, true;
    /// How long a second arrival waits for the first's answer.
    claim_wait: Timeout = Timeout::from_millis(10_000), "claim-wait", REQUEST, true;
    /// How long after its proposal a claim's owner may still send the call.
    claim_send_deadline: Timeout = Timeout::from_millis(2_000), "claim-send-deadline", ORGANISATION, true;
    /// Longest answer that is kept for later arrivals, in bytes.
    max_answer_bytes: ByteLimit = ByteLimit::clamped(65_536), "max-answer-bytes", ORGANISATION, true;
    /// Servers that may load weights at once over the site.
    max_weight_loads: WeightLoads = WeightLoads::MAX, "max-weight-loads", NONE, true;
    /// Whether an endpoint gets no new work.
    drain: bool = false, "drain", LOCATION, false;
}
