//! Limits the rate of each organisation's requests across all routers.
//!
//! The leader keeps a token bucket for each limited organisation in its [`Ledger`]. Each router has a
//! [`Gate`]: it admits requests of *open* organisations at once and reports them later, and asks the
//! leader before it admits those of *metered* ones. Without a leader, routers use local shares of
//! the limits.
//!
//! # Example
//!
//! ```
//! use base::MonotonicTime;
//! use quota::{Answer, Cost, Demand, Ledger, OrganisationKey, Quota, Unit};
//!
//! let organisation = OrganisationKey::of("school");
//! let quota = Quota::new(100.0, 100.0, Unit::Requests, Cost::ONE).unwrap();
//! let mut ledger: Ledger<u32> = Ledger::new(MonotonicTime::ZERO);
//! ledger.set_quotas(MonotonicTime::ZERO, [(organisation, quota)]);
//! ledger.record_poll(MonotonicTime::ZERO, &1, 1);
//! let now = MonotonicTime::from_millis(15);
//! let demands = vec![Demand { organisation, cost: Cost::ONE }; 3];
//! let answers = ledger.answer(now, &demands);
//! assert_eq!(answers[..2], [Answer::Granted, Answer::Granted]);
//! assert!(matches!(answers[2], Answer::Denied { .. }));
//! ```

mod bounds;
mod bucket;
mod fill_clock;
mod gate;
mod ledger;
mod message;
mod open_log;
mod quota;
mod reports;

pub use crate::{
    bounds::Bounds,
    gate::{Admission, Decision, Gate},
    ledger::Ledger,
    message::{Answer, Demand, OrganisationKey, QuotaReport, QuotaView, ReportedCost},
    quota::{Cost, Quota, Unit},
};
