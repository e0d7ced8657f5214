use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use base::{ByteCount, EndpointId, OrganisationId, Revision, Term};
use eyre::WrapErr as _;
use opentelemetry::{KeyValue, metrics::MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::{Exporter, Recorder, instruments::Instruments, recorder::Labels};

/// Maximum number of organisations with a label of their own, those in the configuration first.
pub const MAX_LABELLED_ORGANISATIONS: usize = 64;
/// The label shared by all other organisations.
pub const OTHER_ORGANISATIONS_LABEL: &str = "other";

const NAMESPACE: &str = "dotterelreach";

/// A role in the quorum, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumRole {
    /// Not a voter.
    Observer,
    /// Replicates the leader's log.
    Follower,
    /// Requests votes.
    Candidate,
    /// Appends to the log and replicates it.
    Leader,
}

impl QuorumRole {
    const ALL: [Self; 4] = [Self::Observer, Self::Follower, Self::Candidate, Self::Leader];

    fn as_str(self) -> &'static str {
        match self {
            Self::Observer => "observer",
            Self::Follower => "follower",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        }
    }
}

/// What an endpoint states about itself in a response, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeKind {
    /// It leaves.
    Leaving,
    /// It accepts no requests for a time.
    Wait,
    /// It accepts a limited rate of requests.
    Limit,
    /// Its slots are in use, as inferred from a refusal.
    Full,
}

impl NoticeKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Wait => "wait",
            Self::Limit => "limit",
            Self::Full => "full",
        }
    }
}

/// Why an endpoint's announcement was not applied, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnusedAnnouncement {
    /// A newer one of the endpoint is known.
    Stale,
    /// No configuration names its service yet; it is held until one does.
    UnknownService,
}

impl UnusedAnnouncement {
    fn as_str(self) -> &'static str {
        match self {
            Self::Stale => "stale",
            Self::UnknownService => "unknown-service",
        }
    }
}

/// The metrics of a router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    instruments: Arc<Instruments>,
    organisations: RwLock<BTreeMap<OrganisationId, Arc<Labels>>>,
    other: Arc<Labels>,
    sent: [KeyValue; 1],
    received: [KeyValue; 1],
    roles: [[KeyValue; 1]; QuorumRole::ALL.len()],
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry rejects the exporter.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .wrap_err("cannot start metrics")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let instruments = Arc::new(Instruments::new(&provider.meter(NAMESPACE)));
        Ok(Self {
            registry,
            provider,
            instruments,
            organisations: RwLock::default(),
            other: Arc::new(Labels::new(OTHER_ORGANISATIONS_LABEL)),
            sent: [KeyValue::new("direction", "sent")],
            received: [KeyValue::new("direction", "received")],
            roles: QuorumRole::ALL.map(|role| [KeyValue::new("role", role.as_str())]),
        })
    }

    /// Gives organisations labels of their own, up to [`MAX_LABELLED_ORGANISATIONS`] in all.
    ///
    /// An organisation keeps its label, so that no time series changes its meaning.
    pub fn label_organisations<'a>(
        &self,
        organisations: impl IntoIterator<Item = &'a OrganisationId>,
    ) {
        let mut labelled = self.organisations.write().unwrap_or_else(PoisonError::into_inner);
        for organisation in organisations {
            if labelled.len() < MAX_LABELLED_ORGANISATIONS && !labelled.contains_key(organisation) {
                let labels = Labels::new(organisation.as_str());
                labelled.insert(organisation.clone(), Arc::new(labels));
            }
        }
    }

    /// Returns the recorder for an organisation's requests.
    pub fn recorder(&self, organisation: &OrganisationId) -> Recorder {
        let labelled = self.organisations.read().unwrap_or_else(PoisonError::into_inner);
        let labels = labelled.get(organisation).unwrap_or(&self.other);
        Recorder::new(Arc::clone(&self.instruments), Arc::clone(labels))
    }

    /// Returns the recorder for requests of an unknown organisation.
    pub fn unknown_recorder(&self) -> Recorder {
        Recorder::new(Arc::clone(&self.instruments), Arc::clone(&self.other))
    }

    /// Counts a caller's connection that ended while a response was due.
    pub fn connection_cut(&self) {
        self.instruments.connections_cut.add(1, &[]);
    }

    /// Counts a connection that was closed at once, as too many were open.
    pub fn connection_refused(&self) {
        self.instruments.connections_refused.add(1, &[]);
    }

    /// Counts a connection that was closed before its requests were finished, with the reason as a
    /// label.
    pub fn connection_closed(&self, reason: &'static str) {
        self.instruments.connections_closed.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a body that was refused or given up, with the reason as a label.
    pub fn body_refused(&self, reason: &'static str) {
        self.instruments.bodies_refused.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts what an endpoint stated about itself and had not stated before.
    pub fn endpoint_notice(&self, kind: NoticeKind) {
        self.instruments.endpoint_notices.add(1, &[KeyValue::new("notice", kind.as_str())]);
    }

    /// Counts an endpoint's announcement that was not applied.
    pub fn unused_announcement(&self, why: UnusedAnnouncement) {
        self.instruments.unused_announcements.add(1, &[KeyValue::new("reason", why.as_str())]);
    }

    /// Counts gossip bytes sent.
    pub fn gossip_sent(&self, bytes: ByteCount) {
        self.instruments.gossip_bytes.add(bytes.as_u64(), &self.sent);
    }

    /// Counts gossip bytes received.
    pub fn gossip_received(&self, bytes: ByteCount) {
        self.instruments.gossip_bytes.add(bytes.as_u64(), &self.received);
    }

    /// Sets the gauge of an endpoint's slowness; 1 is that of its service's median endpoint.
    pub fn set_endpoint_slowness(&self, endpoint: &EndpointId, factor: f64) {
        let labels = [KeyValue::new("endpoint", endpoint.to_string())];
        self.instruments.endpoint_slowness.record(factor, &labels);
    }

    /// Sets the gauge of the revision of the configuration in force.
    pub fn set_configuration_revision(&self, revision: Revision) {
        self.instruments.revision.record(revision.as_u64(), &[]);
    }

    /// Sets the gauges of the quorum role and term.
    pub fn set_quorum_state(&self, role: QuorumRole, term: Term) {
        self.instruments.quorum_term.record(term.as_u64(), &[]);
        for (labelled_role, labels) in QuorumRole::ALL.into_iter().zip(&self.roles) {
            self.instruments.quorum_role.record(u64::from(labelled_role == role), labels);
        }
    }

    /// Records the time from a proposal to its commit in the quorum.
    pub fn commit_latency(&self, time: Duration) {
        self.instruments.commit_latency.record(time.as_secs_f64(), &[]);
    }

    /// Exposes the span counts of `exporter` as a metric.
    pub fn watch_exporter(&self, exporter: &Exporter) {
        let counters = exporter.counters();
        let outcomes = ["exported", "failed", "dropped"].map(|o| [KeyValue::new("outcome", o)]);
        let meter = self.provider.meter(NAMESPACE);
        meter
            .u64_observable_counter("spans")
            .with_description("Spans by what became of them.")
            .with_callback(move |observer| {
                let counts = counters.read();
                observer.observe(counts.exported, &outcomes[0]);
                observer.observe(counts.failed, &outcomes[1]);
                observer.observe(counts.dropped, &outcomes[2]);
            })
            .build();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let encoded = TextEncoder::new().encode_to_string(&self.registry.gather());
        encoded.unwrap_or_else(|e| {
            log::error!(error:% = e; "metrics rendering failed");
            String::new()
        })
    }
}
