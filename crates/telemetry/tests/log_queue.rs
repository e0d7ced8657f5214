//! The log's rate is bounded, and a blocked output doesn't block callers.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use log::Level;
use telemetry::{LogBudget, LogQueue};

/// An output that keeps all bytes written.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Captured {
    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().map(str::to_owned).collect()
    }
}

impl Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose writes block.
struct Blocked;

impl Write for Blocked {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        thread::sleep(Duration::from_secs(3600));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(number: usize) -> Vec<u8> {
    format!("line {number}\n").into_bytes()
}

#[test]
fn lines_are_written_in_order_up_to_the_last() {
    let captured = Captured::default();
    let (queue, guard) = LogQueue::start(captured.clone(), LogBudget::default()).unwrap();
    (0..100).for_each(|i| queue.push(Level::Info, line(i)));
    drop(guard);
    let expected: Vec<_> = (0..100).map(|i| format!("line {i}")).collect();
    assert_eq!(captured.lines(), expected);
}

#[test]
fn lines_over_the_budget_are_dropped_and_counted() {
    let captured = Captured::default();
    let budget = LogBudget { lines: 50, info_lines: 40 };
    let (queue, guard) = LogQueue::start(captured.clone(), budget).unwrap();
    (0..500).for_each(|i| queue.push(Level::Info, line(i)));
    queue.push(Level::Error, b"a failure\n".to_vec());
    drop(guard);
    let lines = captured.lines();
    assert!(lines.len() < 150, "{} lines", lines.len());
    assert!(lines.iter().any(|line| line.contains("log lines dropped")));
}

#[test]
fn warnings_have_a_reserved_share_of_the_budget() {
    let captured = Captured::default();
    let budget = LogBudget { lines: 50, info_lines: 10 };
    let (queue, guard) = LogQueue::start(captured.clone(), budget).unwrap();
    (0..20).for_each(|i| queue.push(Level::Info, line(i)));
    queue.push(Level::Warn, b"a failure\n".to_vec());
    drop(guard);
    assert!(captured.lines().iter().any(|line| line == "a failure"));
}

#[test]
fn blocked_output_does_not_block_callers() {
    let (queue, guard) = LogQueue::start(Blocked, LogBudget::default()).unwrap();
    let start = Instant::now();
    (0..100_000).for_each(|i| queue.push(Level::Error, line(i)));
    assert!(start.elapsed() < Duration::from_secs(2));
    assert!(0 < queue.unreported_drops());
    drop(guard);
}
