//! CPU time, memory and thread counts of processes, read from `/proc`.

use std::{fs, time::Duration};

/// Clock ticks per second in which the kernel counts CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process.
pub(crate) struct Usage {
    /// CPU time used so far.
    pub(crate) cpu: Duration,
    /// Resident memory, in MiB.
    pub(crate) mib: f64,
    /// Number of threads.
    pub(crate) threads: u64,
}

/// Reads the resource usage of a process.
///
/// # Errors
///
/// Returns an error if there is no process with this id.
pub(crate) fn usage(pid: u32) -> eyre::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<_> = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace().collect())
        .unwrap_or_default();
    let ticks = |i: usize| fields.get(i).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0)
    };
    Ok(Usage {
        cpu: Duration::from_secs_f64((ticks(11) + ticks(12)) / TICKS_PER_SECOND),
        mib: field("VmRSS:") as f64 / 1024.0,
        threads: field("Threads:"),
    })
}

/// Reads this process's resident memory, in bytes.
///
/// # Errors
///
/// Returns an error if `/proc` can't be read.
pub(crate) fn resident_bytes() -> eyre::Result<f64> {
    Ok(usage(std::process::id())?.mib * 1024.0 * 1024.0)
}

/// Reads the CPU time of the calling thread, accurate to a scheduler tick.
///
/// # Errors
///
/// Returns an error if `/proc` can't be read.
pub(crate) fn thread_cpu() -> eyre::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text.split_whitespace().next().unwrap_or_default().parse()?;
    Ok(Duration::from_nanos(nanos))
}
