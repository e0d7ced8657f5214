//! A log's volume is bounded, and its output holds nobody up.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use log::Level;
use telemetry::{LogBudget, LogRing};

/// An output that keeps what it is given.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Kept {
    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().map(str::to_owned).collect()
    }
}

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that takes nothing.
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
fn lines_come_in_order_and_the_last_ones_too() {
    let kept = Kept::default();
    let (ring, guard) = LogRing::start(kept.clone(), LogBudget::default()).unwrap();
    (0..100).for_each(|i| ring.push(Level::Info, line(i)));
    drop(guard);
    let expected: Vec<_> = (0..100).map(|i| format!("line {i}")).collect();
    assert_eq!(kept.lines(), expected);
}

#[test]
fn flood_leaves_room_for_warnings_and_is_counted() {
    let kept = Kept::default();
    let budget = LogBudget { lines: 50, plain_lines: 40 };
    let (ring, guard) = LogRing::start(kept.clone(), budget).unwrap();
    (0..500).for_each(|i| ring.push(Level::Info, line(i)));
    ring.push(Level::Error, b"a failure\n".to_vec());
    drop(guard);
    let lines = kept.lines();
    assert!(lines.len() < 150, "{} lines", lines.len());
    assert!(lines.iter().any(|line| line.contains("lines left out")));
}

#[test]
fn warnings_have_a_part_of_the_budget_of_their_own() {
    let kept = Kept::default();
    let budget = LogBudget { lines: 50, plain_lines: 10 };
    let (ring, guard) = LogRing::start(kept.clone(), budget).unwrap();
    (0..20).for_each(|i| ring.push(Level::Info, line(i)));
    ring.push(Level::Warn, b"a failure\n".to_vec());
    drop(guard);
    assert!(kept.lines().iter().any(|line| line == "a failure"));
}

#[test]
fn blocked_output_holds_nobody_up() {
    let (ring, guard) = LogRing::start(Blocked, LogBudget::default()).unwrap();
    let start = Instant::now();
    (0..100_000).for_each(|i| ring.push(Level::Error, line(i)));
    assert!(start.elapsed() < Duration::from_secs(2));
    assert!(0 < ring.left_out());
    drop(guard);
}
