//! Fakes at the interfaces, a fault-injecting proxy, a load generator and measurements.
