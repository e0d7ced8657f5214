//! The machines: `reach` as separate processes on loopback addresses, as the deploy file starts it.

use std::{
    fs,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http;

pub const FRONT_PORT: u16 = 18_782;
pub const CONTROL_PORT: u16 = 18_783;
pub const READY_PORT: u16 = 18_789;
const INTERNAL_PORTS: [u16; 2] = [17_340, 17_355];
/// `run` and `env` of `deploy/system.toml`.
const PROGRAM: &str = "target/release/reach";
const FLEET_KEY: &str = "a-key-that-all-hosts-of-a-site-share";

pub const ZONES: [&str; 3] = ["hobart-a", "glenorchy-b", "kingston-c"];

/// The bounds of `sites/ddpc-reach.toml`, as `fleetbench wire` prints them.
const BOUNDS: &str = "seedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\nsyncS = 4\n\
    drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrevertSlackMs = 250\n\
    maxSkewMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n\
    budgetWindowS = 10\nbudgetExtra = 56\nrecoveryS = 12\ntransitMs = 120\nretryAfterS = 10\n\
    requireFencing = false\nleaseMs = 3000\nthawMs = 300\nversionMs = 8000\nversionAllMs = 11000\n";

pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub cores: Vec<Machine>,
    pub fronts: Vec<Machine>,
    subnet: [u8; 2],
    folder: PathBuf,
}

impl Fleet {
    /// Starts `cores` core machines and `fronts` front machines, all at once with empty disks.
    pub fn start(folder: &Path, cores: usize, fronts: usize) -> Self {
        let mut fleet = Self::prepare(folder, cores, fronts);
        (0..cores).for_each(|core| fleet.restart_core(core));
        (0..fronts).for_each(|front| fleet.restart_front(front));
        fleet
    }

    /// Writes the settings of the whole system's first start; starts nothing.
    pub fn prepare(folder: &Path, cores: usize, fronts: usize) -> Self {
        let subnet = free_subnet();
        let mut fleet =
            Self { cores: Vec::new(), fronts: Vec::new(), subnet, folder: folder.to_owned() };
        for i in 0..cores {
            let machine = fleet.machine("core", i, fleet.ip(10 + i as u8));
            fleet.cores.push(machine);
        }
        for i in 0..fronts {
            let machine = fleet.machine("front", i, fleet.ip(50 + i as u8));
            fleet.fronts.push(machine);
        }
        fleet.write_settings(true);
        fleet
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.subnet[0], self.subnet[1], last))
    }

    pub fn front(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.fronts[i % self.fronts.len()].ip, FRONT_PORT)
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(|core| SocketAddr::new(core.ip, CONTROL_PORT)).collect()
    }

    pub fn is_ready(&self, front: usize) -> bool {
        let to = SocketAddr::new(self.fronts[front].ip, READY_PORT);
        let sent = http::send(to, "GET /ready", &[], "", Duration::from_secs(1));
        sent.is_ok_and(|response| response.status == 200)
    }

    /// Writes the settings files; `bootstrap` is true only at the first start.
    pub fn write_settings(&self, bootstrap: bool) {
        let seeds: Vec<String> = self.cores.iter().take(3).map(|c| control_of(c.ip)).collect();
        let machines =
            self.cores.iter().map(|m| (m, true)).chain(self.fronts.iter().map(|m| (m, false)));
        for (i, (machine, is_core)) in machines.enumerate() {
            let ip = machine.ip;
            let zone = ZONES[i % 3];
            let (class, serves) = if is_core { ("core", "control") } else { ("front", "front") };
            let listen = match is_core {
                true => format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
                false => {
                    format!("front = \"{ip}:{FRONT_PORT}\"\nreadyAddr = \"{ip}:{READY_PORT}\"\n")
                }
            };
            let data = match is_core {
                true => format!("dataDir = \"{}\"\n", self.data_dir(machine).display()),
                false => String::new(),
            };
            let (cpu, memory, fds) = if is_core { (0.6, 256, 4096) } else { (0.25, 110, 4100) };
            let text = format!(
                "nodeName = \"{}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
                 serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"tas-south\"\n\
                 internalPorts = [{},{}]\nseedAddrs = [{}]\nbootstrap = {bootstrap}\n\
                 countsAsLoss = {is_core}\n{data}discovery = \"register\"\nentry = \"vip\"\n\
                 heartbeatMs = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\
                 \"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\"]\nconfigMode = \"highest\"\n\
                 [zones]\nhobart-a = \"tas-south\"\nglenorchy-b = \"tas-south\"\n\
                 kingston-c = \"tas-south\"\n[listenAddrs]\n{listen}[limits]\ncpuShare = {cpu}\n\
                 cpuCores = 1\nmemoryMb = {memory}\nmaxFds = {fds}\nlinkMbps = 1000.0\n\
                 diskMb = {}\n[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\n{BOUNDS}",
                machine.name,
                INTERNAL_PORTS[0],
                INTERNAL_PORTS[1],
                seeds.join(","),
                if is_core { 128 } else { 0 },
            );
            fs::write(&machine.settings, text).expect("the folder can be written");
        }
    }

    /// Kills a core machine's process; it doesn't come back by itself.
    pub fn kill_core(&mut self, i: usize) {
        self.cores[i].kill();
    }

    /// Starts the process of a machine, with its disk.
    pub fn restart_core(&mut self, i: usize) {
        let pids = self.pids_file();
        self.cores[i].start(&pids);
    }

    /// Empties the disk of a core machine that is down.
    pub fn wipe_core(&self, i: usize) {
        let _ = fs::remove_dir_all(self.data_dir(&self.cores[i]));
    }

    pub fn restart_front(&mut self, i: usize) {
        let pids = self.pids_file();
        self.fronts[i].start(&pids);
    }

    /// Returns the core machine that leads, by the logs.
    pub fn leader(&self) -> Option<usize> {
        self.cores.iter().position(|core| {
            let log = core.log();
            log.matches("leadership lost").count() < log.matches("leadership acquired").count()
        })
    }

    /// Returns the machines whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let all = self.cores.iter_mut().chain(&mut self.fronts);
        all.filter_map(|machine| {
            let child = machine.child.as_mut()?;
            matches!(child.try_wait(), Ok(Some(_))).then(|| machine.name.clone())
        })
        .collect()
    }

    fn machine(&self, class: &str, i: usize, ip: IpAddr) -> Machine {
        let name = format!("{class}-{}-{}", ZONES[i % 3], i / 3 + 1);
        Machine {
            settings: self.folder.join(format!("{name}.toml")),
            log: self.folder.join(format!("{name}.log")),
            name,
            ip,
            child: None,
        }
    }

    fn data_dir(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("data-{}", machine.name))
    }

    fn pids_file(&self) -> PathBuf {
        self.folder.join("pids")
    }
}

impl Machine {
    fn start(&mut self, pids: &Path) {
        let log =
            fs::File::options().create(true).append(true).open(&self.log).expect("a log file");
        let mut command = Command::new(PROGRAM);
        command
            .env_clear()
            .env("DOTTERELREACH_BOOT", &self.settings)
            .env("DOTTERELREACH_FLEET_KEY", FLEET_KEY)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file can be cloned"))
            .stderr(log);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.spawn().expect("the build of the deploy file has made the program");
        let mut file = fs::File::options().create(true).append(true).open(pids).expect("a file");
        let _ = writeln!(file, "{}", child.id());
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn control_of(ip: IpAddr) -> String {
    format!("\"{ip}:{CONTROL_PORT}\"")
}

/// Finds a loopback subnet on which nothing listens at the ports used here.
fn free_subnet() -> [u8; 2] {
    let first = std::process::id().wrapping_mul(37);
    for n in 0..4_096u32 {
        let number = first.wrapping_add(n);
        let subnet = [130 + (number >> 7) as u8 % 100, number as u8 % 128];
        let probe = IpAddr::V4(Ipv4Addr::new(127, subnet[0], subnet[1], 10));
        if TcpStream::connect(SocketAddr::new(probe, CONTROL_PORT)).is_err() {
            return subnet;
        }
    }
    panic!("no free subnet");
}

/// Waits until the condition holds; returns whether it did in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !condition() {
        if deadline < Instant::now() {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}
