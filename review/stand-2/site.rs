//! A small deployment: the project's own processes with settings as the platform writes them.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
};

use crate::record::Record;

pub const FRONT_PORT: u16 = 18_782;
pub const CONTROL_PORT: u16 = 18_783;
pub const READY_PORT: u16 = 18_789;
pub const INTERNAL_PORT: u16 = 18_340;
pub const KEY: &str = "ctnfzs989anu6wsjnban";
const ZONES: [&str; 3] = ["hobart-a", "glenorchy-b", "kingston-c"];

/// A machine with one process.
pub struct Host {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

pub struct Site {
    pub cores: Vec<Host>,
    pub fronts: Vec<Host>,
    subnet: [u8; 2],
    pub folder: PathBuf,
    pub record: Record,
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

const SIGKILL: std::ffi::c_ulong = 9;

impl Site {
    /// Writes the settings of the machines; none is started.
    pub fn prepare(record: &Record, cores: usize, fronts: usize) -> Option<Self> {
        let subnet = free_subnet()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut site =
            Self { cores: vec![], fronts: vec![], subnet, folder, record: record.clone() };
        for i in 0..cores {
            let host = site.host(10 + i as u8, &format!("core-{i}"));
            site.cores.push(host);
        }
        for i in 0..fronts {
            let host = site.host(50 + i as u8, &format!("front-{i}"));
            site.fronts.push(host);
        }
        for i in 0..cores {
            site.write_settings(true, i, true).ok()?;
        }
        for i in 0..fronts {
            site.write_settings(false, i, true).ok()?;
        }
        Some(site)
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], last).into()
    }

    fn host(&self, last: u8, name: &str) -> Host {
        Host {
            name: name.to_owned(),
            ip: self.ip(last),
            settings: self.folder.join(format!("{name}.toml")),
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Writes a settings file as DEPLOY.md shows it, with the bounds of the small deployments.
    pub fn write_settings(&self, core: bool, i: usize, bootstrap: bool) -> std::io::Result<()> {
        let host = if core { &self.cores[i] } else { &self.fronts[i] };
        let seeds: Vec<String> =
            self.cores.iter().take(3).map(|core| format!("\"{}:{CONTROL_PORT}\"", core.ip)).collect();
        let (ip, zone) = (host.ip, ZONES[i % 3]);
        let (class, listen, data, limits) = if core {
            let data = self.folder.join(format!("data-{}", host.name));
            (
                "core",
                format!("control = \"{ip}:{CONTROL_PORT}\""),
                format!("dataDir = \"{}\"\n", data.display()),
                "cpuShare = 0.6\ncpuCores = 1\nmemoryMb = 256\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128",
            )
        } else {
            (
                "front",
                format!("front = \"{ip}:{FRONT_PORT}\"\nreadyAddr = \"{ip}:{READY_PORT}\""),
                String::new(),
                "cpuShare = 0.25\ncpuCores = 1\nmemoryMb = 110\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0",
            )
        };
        let text = format!(
            "nodeName = \"{}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\nserves = [\"{}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"tas-south\"\n\
             internalPorts = [{INTERNAL_PORT},{}]\nseedAddrs = [{}]\nbootstrap = {bootstrap}\n\
             countsAsLoss = {core}\ndiscovery = \"register\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\"]\n\
             configMode = \"highest\"\n{data}[zones]\nhobart-a = \"tas-south\"\nglenorchy-b = \"tas-south\"\nkingston-c = \"tas-south\"\n\
             [listenAddrs]\n{listen}\n[limits]\n{limits}\n\
             [faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\nsyncS = 4\ndrainMs = 2000\n\
             graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrevertSlackMs = 250\nmaxSkewMs = 5000\n\
             strictRevoke = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 56\n\
             recoveryS = 12\ntransitMs = 120\nretryAfterS = 10\nrequireFencing = false\nleaseMs = 3000\nthawMs = 300\n\
             versionMs = 8000\nversionAllMs = 11000\n",
            host.name,
            if core { "control" } else { "front" },
            INTERNAL_PORT + 15,
            seeds.join(","),
        );
        fs::write(&host.settings, text)
    }

    pub fn core_control(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.cores[i].ip, CONTROL_PORT)
    }

    pub fn front_addr(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.fronts[i].ip, FRONT_PORT)
    }

    pub fn note(&self, line: &str) {
        self.record.note(line);
    }

    /// Appends the end of each process's log to the record.
    pub fn keep_logs(&self, lines: usize) {
        for host in self.cores.iter().chain(&self.fronts) {
            let text = fs::read_to_string(&host.log).unwrap_or_default();
            let all: Vec<&str> = text.lines().collect();
            self.note(&format!("log of {} ({} lines, the last {lines}):", host.name, all.len()));
            for line in &all[all.len().saturating_sub(lines)..] {
                self.note(&format!("    {line}"));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in self.cores.iter_mut().chain(&mut self.fronts) {
            host.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Host {
    /// Starts the process as the deploy file says: program, key and settings file.
    pub fn start(&mut self, record: &Record) -> bool {
        let log = fs::File::options().create(true).append(true).open(&self.log);
        let (Ok(out), Ok(err)) = (log.as_ref().map(|l| l.try_clone().unwrap()), &log) else {
            return false;
        };
        let mut command = Command::new(program());
        // No process is left if this one is ended.
        // SAFETY: `prctl` may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", "/tmp")
            .env("LANG", "C")
            .env("DOTTERELREACH_BOOT", &self.settings)
            .env("DOTTERELREACH_FLEET_KEY", "a-key-that-all-hosts-of-a-site-share")
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err.try_clone().unwrap())
            .spawn();
        record.note(&format!("start {} ({}): {}", self.name, self.ip, child.is_ok()));
        self.child = child.ok();
        self.child.is_some()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the memory that the process uses, in megabytes; `None` if it has ended.
    pub fn memory_mb(&mut self) -> Option<f64> {
        if !self.is_running() {
            return None;
        }
        let pid = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        Some(kilobytes * 1024.0 / 1e6)
    }
}

/// The program that the build of the deploy file makes; scripts run in the root of the repository.
fn program() -> PathBuf {
    let path = Path::new("target/release/reach");
    path.canonicalize().unwrap_or_else(|_| path.to_path_buf())
}

/// Finds a loopback subnet of which no address has a listener at the ports that are used.
fn free_subnet() -> Option<[u8; 2]> {
    let first = std::process::id();
    (0..200u32).find_map(|n| {
        let number = first.wrapping_mul(31).wrapping_add(n);
        let subnet = [130 + (number >> 7) as u8 % 60, 1 + number as u8 % 120];
        let free = [10u8, 11, 50].iter().all(|last| {
            [CONTROL_PORT, INTERNAL_PORT, FRONT_PORT].iter().all(|port| {
                TcpListener::bind((Ipv4Addr::new(127, subnet[0], subnet[1], *last), *port)).is_ok()
            })
        });
        free.then_some(subnet)
    })
}

/// A configuration with the routes of a small deployment.
pub fn configuration(version: u64, keys: &[&str], more: &str) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"jepu9.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"sloMs\":600,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":{attempts},\
             \"public\":false,\"sticky\":{},\"resumable\":{resumable}}}",
            kind == "stream"
        )
    };
    let routes = [
        route("r-proof", "/proof/", "stream", "pool", 6000, 1, false),
        route("r-note", "/note/", "stream", "pool", 15000, 2, true),
        route("r-order", "/order/", "non_idempotent", "desk", 1500, 1, false),
        route("r-status", "/status/", "idempotent", "desk", 1500, 2, false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}{more}],\"services\":[\
         {{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":300,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":48,\"kvTokens\":70946,\"kvTokenBytes\":131072,\"linkMbps\":280000.0,\"moves\":true,\"backups\":true,\
         \"stride\":4,\"maxInflight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m0\"}}]}}}},\
         {{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"sese880\",\"apiKeys\":[{}],\"priority\":1,\"isolated\":false}}]}}",
        routes.join(","),
        keys.join(",")
    )
}
