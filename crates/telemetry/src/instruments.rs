use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, UpDownCounter};

/// Upper bounds of the histogram buckets, in seconds, from 0.5 ms to 60 s.
///
/// They include the latency targets of 79 ms between tokens and 0.79 s to the first token.
const SECONDS_BUCKETS: [f64; 20] = [
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.015, 0.03, 0.05, 0.079, 0.12, 0.2, 0.35, 0.5, 0.79, 1.2,
    2.0, 5.0, 10.0, 30.0, 60.0,
];

/// The metric instruments.
#[derive(Debug)]
pub(crate) struct Instruments {
    pub(crate) first_token: Histogram<f64>,
    pub(crate) between_tokens: Histogram<f64>,
    pub(crate) queue_wait: Histogram<f64>,
    pub(crate) request_duration: Histogram<f64>,
    pub(crate) prompt_tokens: Counter<u64>,
    pub(crate) cached_tokens: Counter<u64>,
    pub(crate) recomputed_tokens: Counter<u64>,
    pub(crate) verdicts: Counter<u64>,
    pub(crate) retries: Counter<u64>,
    pub(crate) hedges: Counter<u64>,
    pub(crate) refusals: Counter<u64>,
    pub(crate) in_flight: UpDownCounter<i64>,
    pub(crate) mismatched_responses: Counter<u64>,
    pub(crate) resumes: Counter<u64>,
    pub(crate) claims: Counter<u64>,
    pub(crate) connections_cut: Counter<u64>,
    pub(crate) connections_refused: Counter<u64>,
    pub(crate) connections_closed: Counter<u64>,
    pub(crate) bodies_refused: Counter<u64>,
    pub(crate) endpoint_notices: Counter<u64>,
    pub(crate) unused_announcements: Counter<u64>,
    pub(crate) gossip_bytes: Counter<u64>,
    pub(crate) endpoint_slowness: Gauge<f64>,
    pub(crate) revision: Gauge<u64>,
    pub(crate) quorum_role: Gauge<u64>,
    pub(crate) quorum_term: Gauge<u64>,
    pub(crate) commit_latency: Histogram<f64>,
}

impl Instruments {
    pub(crate) fn new(meter: &Meter) -> Self {
        let seconds = |name, description| seconds_histogram(meter, name, description);
        let count =
            |name, description| meter.u64_counter(name).with_description(description).build();
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Self {
            first_token: seconds("time_to_first_token", "Time from request to first token."),
            between_tokens: seconds("time_between_tokens", "Time between tokens of a stream."),
            queue_wait: seconds("queue_wait", "Time that requests waited for a slot."),
            request_duration: seconds("request_duration", "Time from request to end of answer."),
            prompt_tokens: count("prompt_tokens", "Tokens of prompts."),
            cached_tokens: count("cached_tokens", "Tokens of prompts that the engine held."),
            recomputed_tokens: count(
                "recomputed_tokens",
                "Tokens of prompts computed though another engine held them.",
            ),
            verdicts: count("verdicts", "Failed requests by verdict."),
            retries: count("retries", "Requests sent again."),
            hedges: count("hedges", "Requests sent to a second endpoint."),
            refusals: count("refusals", "Requests refused by reason."),
            in_flight: meter
                .i64_up_down_counter("in_flight")
                .with_description("Requests under way.")
                .build(),
            mismatched_responses: count(
                "crossed_answers_dropped",
                "Answers to another request, dropped.",
            ),
            resumes: count("resumes", "Streams resumed after a cut."),
            claims: count("claims", "Claims of calls that may not be repeated."),
            connections_cut: count(
                "connections_cut",
                "Connections of callers that ended while a response was due.",
            ),
            connections_refused: count(
                "connections_refused",
                "Connections of callers closed at once, as too many were open.",
            ),
            connections_closed: count(
                "connections_closed",
                "Connections closed before their requests were finished, by reason.",
            ),
            bodies_refused: count("bodies_refused", "Bodies of requests refused, by reason."),
            endpoint_notices: count("endpoint_notices", "What endpoints stated about themselves."),
            unused_announcements: count(
                "unused_announcements",
                "Announcements of endpoints that were not applied.",
            ),
            gossip_bytes: count("gossip_bytes", "Bytes of gossip by direction."),
            endpoint_slowness: meter
                .f64_gauge("endpoint_slowness")
                .with_description("Slowness of endpoints, relative to their service's median.")
                .build(),
            revision: gauge("configuration_revision", "Revision of the configuration in force."),
            quorum_role: gauge("quorum_role", "1 for the role held, 0 for the others."),
            quorum_term: gauge("quorum_term", "Latest term seen."),
            commit_latency: seconds("quorum_commit_latency", "Time from proposal to commit."),
        }
    }
}

fn seconds_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(SECONDS_BUCKETS.to_vec())
        .build()
}
