//! Finds what crashes endpoints, parts of prompts or requests that come again, and keeps it from
//! them.
//!
//! Routers report each [`Crash`]: an engine, or another endpoint, that ended just as it began to run
//! a request. The request and the parts of its prompt are the [`Suspect`]s. Most of them are sound,
//! so routers also report [`Survival`]s: suspects that an endpoint did answer. The [`Detector`] puts
//! both together and quarantines the part or the request that explains the crashes. [`Survivals`] is
//! a router's own record of survivals, from which it reports those of suspects.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use base::MonotonicTime;
//! use prefix::PartId;
//! use quarantine::{
//!     Crash, Detector, RequestFingerprint, RequestFingerprints, Suspect, Survival,
//! };
//!
//! let (sound, bad) = (PartId::new(1), PartId::new(2));
//! let mut detector = Detector::default();
//! for engine in 1..=3 {
//!     let now = MonotonicTime::from_millis(100 * engine);
//!     let fingerprint = RequestFingerprint::new(engine);
//!     let request = RequestFingerprints { content: fingerprint, with_prompt: fingerprint };
//!     let (parts, age) = (vec![sound, bad], Duration::ZERO);
//!     detector.record_crash(now, &Crash { engine, request, parts, age, waited: None });
//!     let suspect = Suspect::Part(sound);
//!     detector.record_survival(now, Survival { suspect, age: Duration::ZERO });
//! }
//! let found = detector.update(MonotonicTime::from_millis(1_000));
//! assert_eq!(found.unwrap().suspect, Suspect::Part(bad));
//! ```

mod crash;
mod detector;
mod hearings;
mod survivals;
mod suspect;

pub use crate::{
    crash::{Crash, Quarantined, Survival},
    detector::{Detector, Finding},
    survivals::Survivals,
    suspect::{RequestContent, RequestFingerprint, RequestFingerprints, Suspect},
};
