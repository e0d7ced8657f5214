//! Daemons as child processes that can be killed, suspended and restarted.

use std::{
    fs::File,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    os::unix::fs::FileExt as _,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use eyre::{WrapErr as _, ensure};
use rustix::process::{Pid, Signal, kill_process};

/// First port tried for callers.
const FIRST_LISTEN_PORT: u16 = 20_000;

/// First port tried for other routers.
const FIRST_PEER_PORT: u16 = 21_000;

/// First port tried for operators.
const FIRST_ADMIN_PORT: u16 = 22_000;

/// Number of ports tried for each listener.
const PORT_RANGE: u16 = 1_000;

/// Most lines of a daemon's log that a failing test prints.
const MAX_PRINTED_LOG_LINES: usize = 400;

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The executable that runs a daemon, and the arguments that precede the daemon's settings.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that precede the daemon's settings.
    pub args: Vec<String>,
}

impl Program {
    /// Returns the `bench` executable at `path`, which includes the daemon.
    pub fn bench(path: &str) -> Self {
        Self { path: path.into(), args: vec!["daemon".into()] }
    }
}

/// A daemon's settings, passed as flags.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    /// Host id.
    pub host: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other routers.
    pub peer_listen: SocketAddr,
    /// Address for operators.
    pub admin_listen: SocketAddr,
    /// Other flags.
    pub flags: Vec<String>,
    /// Environment variables of the daemon's settings.
    pub env: Vec<(String, String)>,
}

impl DaemonSpec {
    /// Returns settings with free ports on an unused loopback address.
    pub fn new(host: &str, data_centre: &str) -> Self {
        let ip = unused_loopback();
        Self {
            host: host.to_owned(),
            data_centre: data_centre.to_owned(),
            listen: free_port(ip, FIRST_LISTEN_PORT),
            peer_listen: free_port(ip, FIRST_PEER_PORT),
            admin_listen: free_port(ip, FIRST_ADMIN_PORT),
            flags: Vec::new(),
            env: Vec::new(),
        }
    }

    /// Adds a flag with its value.
    #[must_use]
    pub fn flag(mut self, name: &str, value: impl ToString) -> Self {
        self.flags.extend([name.to_owned(), value.to_string()]);
        self
    }

    /// Adds an environment variable.
    #[must_use]
    pub fn env(mut self, name: &str, value: impl ToString) -> Self {
        self.env.push((name.to_owned(), value.to_string()));
        self
    }

    /// Adds a flag without a value.
    #[must_use]
    pub fn switch(mut self, name: &str) -> Self {
        self.flags.push(name.to_owned());
        self
    }

    fn command(&self, program: &Program, log: &File) -> eyre::Result<Command> {
        let mut command = Command::new(&program.path);
        command
            .args(&program.args)
            .args(["--host", &self.host, "--data-centre", &self.data_centre])
            .args(["--listen", &self.listen.to_string()])
            .args(["--peer-listen", &self.peer_listen.to_string()])
            .args(["--admin-listen", &self.admin_listen.to_string()])
            .args(&self.flags)
            .stdin(Stdio::null())
            .stdout(log_output(log)?)
            .stderr(log_output(log)?);
        for (name, _) in std::env::vars_os() {
            if name.to_string_lossy().starts_with("DOTTERELREACH_") {
                command.env_remove(name);
            }
        }
        command.envs(self.env.iter().map(|(name, value)| (name, value)));
        if let Some(level) = log_level() {
            command.env("DOTTERELREACH_LOG_LEVEL", level);
        }
        Ok(command)
    }
}

/// A daemon's process, killed on drop.
pub struct Daemon {
    spec: DaemonSpec,
    program: Program,
    child: Child,
    log: File,
    frozen: bool,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start(program: &Program, spec: DaemonSpec) -> eyre::Result<Self> {
        let log = tempfile::tempfile()?;
        let child = spec
            .command(program, &log)?
            .spawn()
            .wrap_err_with(|| format!("could not start {}", program.path.display()))?;
        Ok(Self { spec, program: program.clone(), child, log, frozen: false })
    }

    /// Returns the daemon's settings.
    pub fn spec(&self) -> &DaemonSpec {
        &self.spec
    }

    /// Returns the process's log; empty if `RUST_LOG` is set, as the log then goes to this process's
    /// standard error.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read.
    pub fn log(&self) -> io::Result<String> {
        let mut log = vec![0; usize::try_from(self.log.metadata()?.len()).unwrap_or(0)];
        self.log.read_exact_at(&mut log, 0)?;
        Ok(String::from_utf8_lossy(&log).into_owned())
    }

    /// Waits until the daemon is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the process exits, or isn't ready within `timeout`.
    pub fn wait_ready(&mut self, timeout: Duration) -> eyre::Result<()> {
        let url = format!("http://{}/readyz", self.spec.admin_listen);
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                let (host, log) = (&self.spec.host, self.log()?);
                eyre::bail!("{host} exited before it was ready: {status}; its log:\n{log}");
            }
            if attohttpc::get(&url).timeout(POLL_INTERVAL * 20).send().is_ok_and(|r| r.is_success())
            {
                return Ok(());
            }
            ensure!(
                Instant::now() < deadline,
                "{} was not ready within {timeout:?}",
                self.spec.host
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills the process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be signalled.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.frozen = false;
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Kills the process with SIGKILL and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be killed or started.
    pub fn restart(&mut self) -> eyre::Result<()> {
        self.kill()?;
        self.start_again()
    }

    /// Starts the process again after it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_again(&mut self) -> eyre::Result<()> {
        self.child = self.spec.command(&self.program, &self.log)?.spawn()?;
        Ok(())
    }

    /// Suspends the process with SIGSTOP, as when a host hangs.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be signalled.
    pub fn freeze(&mut self) -> eyre::Result<()> {
        self.signal(Signal::STOP)?;
        self.frozen = true;
        Ok(())
    }

    /// Resumes the process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be signalled.
    pub fn thaw(&mut self) -> eyre::Result<()> {
        self.signal(Signal::CONT)?;
        self.frozen = false;
        Ok(())
    }

    /// Starts a graceful shutdown with SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be signalled.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't exit within `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> eyre::Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            ensure!(
                Instant::now() < deadline,
                "{} did not exit within {timeout:?}",
                self.spec.host
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Prints the end of the log when a test fails.
    #[expect(clippy::print_stderr, reason = "a failing test prints it")]
    fn print_log(&self) {
        let host = &self.spec.host;
        match self.log() {
            Ok(log) => {
                let skipped = log.lines().count().saturating_sub(MAX_PRINTED_LOG_LINES);
                eprintln!("-- log of {host}, first {skipped} lines omitted");
                log.lines().skip(skipped).for_each(|line| eprintln!("{line}"));
            }
            Err(e) => eprintln!("-- log of {host} can't be read: {e}"),
        }
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.ok_or_else(|| eyre::eyre!("the process id is out of range"))?, signal)?;
        Ok(())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.kill();
        if std::thread::panicking() {
            self.print_log();
        }
    }
}

/// Waits until `condition` holds.
///
/// # Errors
///
/// Returns an error that names `what` if the condition doesn't hold within `timeout`.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> eyre::Result<()> {
    let deadline = Instant::now() + timeout;
    while !condition() {
        ensure!(Instant::now() < deadline, "condition not met within {timeout:?}: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns the output for a daemon's log: standard error if `RUST_LOG` is set, otherwise `log`.
fn log_output(log: &File) -> io::Result<Stdio> {
    if std::env::var_os("RUST_LOG").is_some() {
        // Standard output carries the results of the measurements.
        return Ok(Stdio::from(io::stderr()));
    }
    log.try_clone().map(Stdio::from)
}

/// Returns the level in `RUST_LOG`, if it is a plain level without filters.
fn log_level() -> Option<String> {
    let level = std::env::var("RUST_LOG").ok()?;
    level.parse::<log::LevelFilter>().is_ok().then_some(level)
}

/// Returns a loopback address that no other daemon of this process uses.
fn unused_loopback() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let pid = std::process::id();
    let [low, high, ..] = pid.to_le_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, 128 | high, low, number.wrapping_add(2)))
}

/// Returns the first port from `first` on without a listener, below the range of ephemeral ports.
///
/// It connects instead of binding: a child that another thread spawns meanwhile would hold the bound
/// port until its exec.
fn free_port(ip: IpAddr, first: u16) -> SocketAddr {
    (first..first + PORT_RANGE)
        .map(|port| SocketAddr::from((ip, port)))
        .find(|address| TcpStream::connect(address).is_err())
        .expect("a port is free on the loopback interface")
}
