//! The memory that this machine gives the process.

use std::fs;

/// Memory that is assumed if the machine's can't be read, in bytes.
const ASSUMED_BYTES: u64 = 256 << 20;

/// Limit of the process's own control group, as containers see it.
const CGROUP_LIMIT: &str = "/sys/fs/cgroup/memory.max";

/// Returns the smaller of the control group's limit and the machine's memory, in bytes.
pub(super) fn of_machine() -> u64 {
    let machine = machine().unwrap_or(ASSUMED_BYTES);
    let cgroup = fs::read_to_string(CGROUP_LIMIT).ok().and_then(|text| text.trim().parse().ok());
    cgroup.map_or(machine, |limit: u64| limit.min(machine))
}

fn machine() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = total.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes << 10)
}
