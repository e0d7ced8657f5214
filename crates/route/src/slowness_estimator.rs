use std::{collections::BTreeMap, time::Duration};

use base::MonotonicTime;

use crate::{PublishedSlowness, ResponseSums, ServiceKey, Slowness, decayed_sums::DecayedSums};

/// Half-life of the sums that follow a change of speed. With 2 s, the factor of an endpoint that had
/// recovered from 7.5 was still above 3 after 5 s for 2 of 13 seeds of the test.
const SHORT_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Half-life of the sums that tell small differences; 1.3 at six responses a second.
const LONG_HALF_LIFE: Duration = Duration::from_secs(12);

/// Time between estimates.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(250);

/// Time from the first report to the first estimate, so that a new leader replaces its predecessor's
/// factors only by better ones.
const WARM_UP: Duration = Duration::from_secs(3);

/// Fewest responses that a factor is inferred from.
const MIN_RESPONSES: f64 = 8.0;

/// Fewest recent responses with which an endpoint counts for the median.
const MIN_MEDIAN_RESPONSES: f64 = 1.0;

/// Fewest endpoints with a median to compare with.
const MIN_ENDPOINTS: usize = 2;

/// Smallest logarithm of a ratio that is a clear difference: 12%.
const MIN_DIFFERENCE: f64 = 0.113;

/// Share of a clear difference that keeps a factor that is already published.
const KEPT_SHARE: f64 = 0.6;

/// Clear difference with a single response; 1.0 gave factors to endpoints of equal speed within
/// seconds of a service's start.
const SINGLE_RESPONSE_DIFFERENCE: f64 = 1.5;

/// Recent responses at which a factor is halfway between 1 and the ratio.
const HALF_WEIGHT_RESPONSES: f64 = 1.0;

/// Smallest change of a factor that is published.
const MIN_PUBLISHED_CHANGE: f64 = 0.05;

/// Number of responses below which an endpoint is forgotten.
const MIN_KEPT_RESPONSES: f64 = 0.05;

/// Most incarnations that are followed, more than three times the endpoints of the largest site.
const MAX_ENDPOINTS: usize = 10_000;

/// Infers which endpoints are slower or faster than their service's median endpoint.
///
/// Ratios of observed to expected times are compared within a service, so that load that slows
/// down all of its endpoints changes no factor.
#[derive(Clone, Debug)]
pub struct SlownessEstimator<K> {
    endpoints: BTreeMap<K, Endpoint>,
    published: BTreeMap<K, PublishedSlowness<K>>,
    /// When the next estimate is due, after the first report.
    next_estimate: Option<MonotonicTime>,
    has_published: bool,
}

#[derive(Clone, Copy, Debug)]
struct Endpoint {
    service: ServiceKey,
    short: DecayedSums,
    long: DecayedSums,
}

/// The medians of a service in both windows.
#[derive(Clone, Copy, Debug)]
struct Medians {
    short: Median,
    long: Median,
}

/// The median ratio and the median number of effective responses of a service's endpoints.
#[derive(Clone, Copy, Debug)]
struct Median {
    ratio: f64,
    responses: f64,
}

/// An endpoint's ratio relative to the median, with the number of responses in its window.
#[derive(Clone, Copy, Debug)]
struct RelativeRatio {
    log: f64,
    /// Responses of the endpoint.
    count: f64,
    /// Effective responses that the difference from the median is judged by.
    responses: f64,
    median: f64,
}

impl<K> Default for SlownessEstimator<K> {
    fn default() -> Self {
        Self {
            endpoints: BTreeMap::new(),
            published: BTreeMap::new(),
            next_estimate: None,
            has_published: false,
        }
    }
}

impl<K: Copy + Ord> SlownessEstimator<K> {
    /// Records a router's report; impossible entries are dropped.
    pub fn record(&mut self, now: MonotonicTime, report: &[ResponseSums<K>]) {
        for sums in report.iter().filter(|sums| sums.is_plausible()) {
            let is_known = self.endpoints.contains_key(&sums.endpoint);
            if !is_known && MAX_ENDPOINTS <= self.endpoints.len() {
                continue;
            }
            let endpoint = self.endpoints.entry(sums.endpoint).or_insert(Endpoint {
                service: sums.service,
                short: DecayedSums::new(now, SHORT_HALF_LIFE),
                long: DecayedSums::new(now, LONG_HALF_LIFE),
            });
            endpoint.short.add(now, sums);
            endpoint.long.add(now, sums);
            self.next_estimate.get_or_insert(now + WARM_UP);
        }
    }

    /// Estimates the factors if that is due; returns whether they have to be published.
    ///
    /// The first estimate is published even if it has no factors, to replace another leader's.
    pub fn update(&mut self, now: MonotonicTime) -> bool {
        if self.next_estimate.is_none_or(|due| now < due) {
            return false;
        }
        self.next_estimate = Some(now + ESTIMATE_INTERVAL);
        self.decay(now);
        let estimated = self.estimate();
        let is_first = !std::mem::replace(&mut self.has_published, true);
        if !is_first && !self.differs(&estimated) {
            return false;
        }
        self.published = estimated;
        true
    }

    /// Returns the published factors; endpoints without one are nominal.
    pub fn published(&self) -> impl Iterator<Item = &PublishedSlowness<K>> {
        self.published.values()
    }

    /// Decays the sums, and removes endpoints without recent responses.
    fn decay(&mut self, now: MonotonicTime) {
        self.endpoints.retain(|_, endpoint| {
            endpoint.short.decay(now);
            endpoint.long.decay(now);
            MIN_KEPT_RESPONSES <= endpoint.long.count()
        });
    }

    fn estimate(&self) -> BTreeMap<K, PublishedSlowness<K>> {
        let medians = self.medians();
        let mut estimated = BTreeMap::new();
        for (&key, endpoint) in &self.endpoints {
            let Some(medians) = medians.get(&endpoint.service) else { continue };
            let Some(ratio) = endpoint.relative_ratio(medians) else { continue };
            if !self.differs_clearly(key, &ratio) {
                continue;
            }
            let slowness = endpoint.slowness(&ratio);
            if slowness != Slowness::NOMINAL {
                let weight = ratio.count.round() as u32;
                let median = (ratio.median * 100.0).round() as u32;
                estimated
                    .insert(key, PublishedSlowness { endpoint: key, slowness, weight, median });
            }
        }
        estimated
    }

    fn medians(&self) -> BTreeMap<ServiceKey, Medians> {
        let mut sums: BTreeMap<ServiceKey, Vec<&Endpoint>> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            if MIN_MEDIAN_RESPONSES <= endpoint.short.count() {
                sums.entry(endpoint.service).or_default().push(endpoint);
            }
        }
        sums.retain(|_, endpoints| MIN_ENDPOINTS <= endpoints.len());
        let medians = sums.into_iter().map(|(service, endpoints)| {
            let short = Median::of(endpoints.iter().map(|endpoint| &endpoint.short));
            let long = Median::of(endpoints.iter().map(|endpoint| &endpoint.long));
            (service, Medians { short, long })
        });
        medians.collect()
    }

    /// Returns whether a ratio differs clearly from the median; less is needed to stay published.
    fn differs_clearly(&self, key: K, ratio: &RelativeRatio) -> bool {
        let is_published = self.published.contains_key(&key);
        let share = if is_published { KEPT_SHARE } else { 1.0 };
        let has_weight = is_published || MIN_RESPONSES <= ratio.count;
        has_weight && clear_difference(ratio.responses) * share <= ratio.log.abs()
    }

    /// Returns whether estimated factors differ from the published ones.
    fn differs(&self, estimated: &BTreeMap<K, PublishedSlowness<K>>) -> bool {
        estimated.len() != self.published.len()
            || estimated.iter().any(|(key, new)| {
                self.published.get(key).is_none_or(|old| {
                    let (old, new) = (old.slowness.factor(), new.slowness.factor());
                    MIN_PUBLISHED_CHANGE < (new / old - 1.0).abs()
                })
            })
    }
}

impl Endpoint {
    /// Returns the ratio that holds now: the recent one if it differs clearly from the long-term
    /// one, else the latter, which has less noise; `None` without responses.
    fn relative_ratio(&self, medians: &Medians) -> Option<RelativeRatio> {
        let long = RelativeRatio::new(&self.long, medians.long)?;
        let Some(short) = RelativeRatio::new(&self.short, medians.short) else { return Some(long) };
        let has_changed = clear_difference(short.count) <= (short.log - long.log).abs();
        Some(if has_changed { short } else { long })
    }

    /// Returns the factor, which returns to 1 while there are no responses.
    fn slowness(&self, ratio: &RelativeRatio) -> Slowness {
        let recent = self.short.count();
        let weight = recent * recent / (recent * recent + HALF_WEIGHT_RESPONSES.powi(2));
        // An unbounded ratio would take longer to return to 1 without responses.
        let bounded = Slowness::from_factor(ratio.log.exp()).factor();
        Slowness::from_factor(1.0 + (bounded - 1.0) * weight)
    }
}

impl Median {
    fn of<'a>(sums: impl Iterator<Item = &'a DecayedSums> + Clone) -> Self {
        Self {
            ratio: median(&mut sums.clone().map(DecayedSums::ratio).collect::<Vec<_>>()),
            responses: median(&mut sums.map(DecayedSums::effective_count).collect::<Vec<_>>()),
        }
    }
}

impl RelativeRatio {
    fn new(sums: &DecayedSums, median: Median) -> Option<Self> {
        let log = (sums.ratio() / median.ratio).ln();
        // While all change their speed, an endpoint's ratio depends on how many of its responses are
        // new, and the median shows how few they are.
        let responses = sums.effective_count().min(median.responses);
        log.is_finite().then_some(Self {
            log,
            count: sums.count(),
            responses,
            median: median.ratio,
        })
    }
}

/// Returns the logarithm of a ratio from which it is no longer noise: single response times vary by
/// about their mean.
fn clear_difference(responses: f64) -> f64 {
    MIN_DIFFERENCE.max(SINGLE_RESPONSE_DIFFERENCE / responses.sqrt())
}

/// Returns the median of values that are not empty.
fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        return values[middle];
    }
    (values[middle - 1] + values[middle]) / 2.0
}
