//! A small deployment of real processes, started with the command and the settings of the deploy file.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The machines of each availability zone, as in a small deployment.
pub const ZONES: [(&str, u8); 3] = [("zone-a", 3), ("zone-b", 2), ("zone-c", 2)];

pub struct Instance {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    child: Child,
}

pub struct Deployment {
    pub subnet: u8,
    /// The port for packets, on every host.
    pub packets: u16,
    ready: u16,
    pub instances: Vec<Instance>,
    jayquayd: String,
    folder: PathBuf,
}

impl Drop for Deployment {
    /// Ends all processes that this deployment started.
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ended = instance.child.kill();
            let _reaped = instance.child.wait();
        }
    }
}

fn free_port(ip: Ipv4Addr) -> Result<u16, String> {
    let socket = UdpSocket::bind((ip, 0)).map_err(|error| format!("port: {error}"))?;
    Ok(socket.local_addr().map_err(|error| error.to_string())?.port())
}

impl Deployment {
    /// Chooses a loopback subnet and free ports, the same on every host.
    pub fn new(jayquayd: &str) -> Result<Self, String> {
        let subnet = 100 + (std::process::id() % 100) as u8;
        let first = Ipv4Addr::new(127, subnet, 1, 1);
        let folder = std::env::var_os("REVIEW_DIR").ok_or("REVIEW_DIR is not set")?;
        Ok(Self {
            subnet,
            packets: free_port(first)?,
            ready: free_port(first)?,
            instances: Vec::new(),
            jayquayd: jayquayd.to_owned(),
            folder: folder.into(),
        })
    }

    pub fn host(&self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet, group, number)
    }

    /// Starts the instances of all zones, and waits until all are ready.
    pub fn start(&mut self, store: SocketAddr, evacuations: bool) -> Result<(), String> {
        let peers = free_port(self.host(1, 1))?;
        let mut number = 0;
        let seeds: Vec<String> = [1, 4, 6].iter().map(|seed| format!("\"{}:{peers}\"", self.host(1, *seed))).collect();
        for (zone, count) in ZONES {
            for of_zone in 1..=count {
                number += 1;
                let ip = self.host(1, number);
                let name = format!("front-{zone}-{of_zone}");
                let settings = format!(
                    "name: \"{name}\"\nzone: \"{zone}\"\nlisten:\n  packets: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n  peers: \
                     \"{ip}:{peers}\"\nstore: \"{store}\"\nseeds: [{}]\ngrace_s: 6\nmax_flow_s: 60\nevacuations: {evacuations}\n",
                    self.packets,
                    self.ready,
                    seeds.join(",")
                );
                let path = self.folder.join(format!("{name}.yaml"));
                fs::write(&path, settings).map_err(|error| error.to_string())?;
                let child = self.spawn(&name, &path)?;
                self.instances.push(Instance {
                    name,
                    ip,
                    settings: path,
                    child,
                });
            }
        }
        let begin = Instant::now();
        while !self.instances.iter().all(|instance| self.is_ready(instance)) {
            if begin.elapsed() > Duration::from_secs(30) {
                return Err("the instances are not ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Starts a process with the command of the deploy file. Its id is noted, so that the script ends it in any case.
    fn spawn(&self, name: &str, settings: &PathBuf) -> Result<Child, String> {
        let child = Command::new(&self.jayquayd)
            .args(["--flows", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(File::create(self.folder.join(format!("{name}.log"))).map_err(|error| error.to_string())?)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{}: {error}", self.jayquayd))?;
        let pids = OpenOptions::new().create(true).append(true).open(self.folder.join("pids"));
        let noted = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        noted.map_err(|error| error.to_string())?;
        Ok(child)
    }

    /// Sends SIGTERM to an instance.
    pub fn terminate(&self, index: usize) -> Result<(), String> {
        let pid = self.instances[index].child.id().to_string();
        let sent = Command::new("kill").args(["-s", "TERM", &pid]).status();
        sent.map(|_| ()).map_err(|error| error.to_string())
    }

    /// Ends the process of an instance at once, with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        let child = &mut self.instances[index].child;
        let _ended = child.kill();
        let _reaped = child.wait();
    }

    /// Whether the process of an instance has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        self.instances[index].child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Starts an instance again whose process has ended.
    pub fn start_again(&mut self, index: usize) -> Result<(), String> {
        let instance = &self.instances[index];
        let child = self.spawn(&instance.name, &instance.settings)?;
        self.instances[index].child = child;
        Ok(())
    }

    pub fn is_ready(&self, instance: &Instance) -> bool {
        let address = SocketAddr::from((instance.ip, self.ready));
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
            return false;
        };
        let _limited = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut answer = [0; 12];
        let asked = stream.write_all(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n");
        asked.is_ok() && stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
    }

    /// Where an instance takes packets.
    pub fn packets_of(&self, instance: &Instance) -> SocketAddr {
        SocketAddr::from((instance.ip, self.packets))
    }
}
