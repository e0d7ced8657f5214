//! A child that another thread spawned held the probed port until its exec, so a daemon could not
//! bind the address that it was given.

use std::{
    net::TcpListener,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use bench::process::DaemonSpec;

/// Threads that spawn processes meanwhile.
const SPAWNERS: usize = 8;

/// Addresses checked.
const DAEMONS: usize = 200;

#[test]
fn address_of_a_daemon_is_free_while_other_threads_spawn_processes() {
    let done = AtomicBool::new(false);
    let failures = thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let specs = (0..DAEMONS).map(|_| DaemonSpec::new("host-1", "a"));
        let failures = specs.filter(|spec| TcpListener::bind(spec.admin_listen).is_err()).count();
        done.store(true, Ordering::Relaxed);
        failures
    });
    assert_eq!(failures, 0, "addresses in use");
}
