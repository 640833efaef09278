//! An instance as a process: started, signalled, and started again whenever it has ended.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::process::Command;

use crate::violation::Book;
use crate::violation::Violation;

/// How long an instance that was told to stop may go on, as its settings say.
pub(crate) const GRACE: Duration = Duration::from_secs(6);
/// How long an instance may take to say whether it is ready.
const READY_TIMEOUT: Duration = Duration::from_millis(200);

/// The ports at which every instance listens, each at its own addresses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ports {
    pub(crate) packets: u16,
    pub(crate) ready: u16,
    pub(crate) peers: u16,
}

/// Where an instance is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    /// Where it listens.
    pub(crate) ip: Ipv4Addr,
    /// Where others reach it: its proxy, or itself.
    pub(crate) advertised: Ipv4Addr,
}

/// What the soak did to an instance, so that its end can be judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Nothing,
    Kill,
    Stop(Instant),
}

/// An instance. Dropping it kills its process.
#[derive(Debug)]
pub(crate) struct Instance {
    name: String,
    place: Place,
    ports: Ports,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    told: Told,
    /// How often it was started.
    pub(crate) starts: u32,
    /// When it was last started or disturbed.
    pub(crate) disturbed: Instant,
}

impl Instance {
    /// Starts an instance. Its log goes to a file in `folder`.
    pub(crate) fn start(
        binary: &Path,
        folder: &Path,
        (name, zone): (&str, &str),
        (place, ports): (Place, Ports),
        (store, seed): (SocketAddr, Ipv4Addr),
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{name}.yaml"));
        let log = folder.join(format!("{name}.log"));
        let Place { ip, advertised } = place;
        let text = format!(
            "name: {name}\nzone: {zone}\nstore: \"{store}\"\nseeds: [\"{seed}:1\"]\ngrace_s: {}\nmax_flow_s: 60\n\
             listen: {{packets: \"{ip}:{}\", ready: \"{ip}:{}\", peers: \"{ip}:{peers}\", advertised: \"{advertised}:{peers}\"}}\n",
            GRACE.as_secs(),
            ports.packets,
            ports.ready,
            peers = ports.peers,
        );
        fs::write(&settings, text)?;
        File::create(&log)?;
        let child = spawn(binary, &settings, &log)?;
        Ok(Self {
            name: name.to_owned(),
            place,
            ports,
            binary: binary.to_owned(),
            settings,
            log,
            child,
            told: Told::Nothing,
            starts: 1,
            disturbed: Instant::now(),
        })
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn packets(&self) -> SocketAddr {
        SocketAddr::from((self.place.ip, self.ports.packets))
    }

    pub(crate) fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.place.ip, self.ports.ready))
    }

    /// Sends a signal to the process, which was started here and has not been reaped.
    pub(crate) async fn signal(&mut self, signal: &str) {
        let Some(pid) = self.child.id() else {
            return;
        };
        self.disturbed = Instant::now();
        let mut kill = Command::new("kill");
        let sent = kill
            .args(["-s", signal, &pid.to_string()])
            .stderr(Stdio::null())
            .status();
        if let Err(error) = sent.await {
            log::warn!("soak: {}: no signal sent: {error}", self.name);
        }
    }

    pub(crate) async fn kill(&mut self) {
        self.told = Told::Kill;
        self.signal("KILL").await;
    }

    pub(crate) async fn terminate(&mut self) {
        if self.told == Told::Nothing {
            self.told = Told::Stop(Instant::now());
        }
        self.signal("TERM").await;
    }

    /// Starts the process again if it has ended, and notes an end that was not asked for, came late or was not clean.
    pub(crate) fn tend(&mut self, book: &Book) -> io::Result<()> {
        let Some(status) = self.child.try_wait()? else {
            if let Told::Stop(since) = self.told
                && since.elapsed() > GRACE + GRACE
            {
                book.add(Violation::Ended(format!("{} does not stop", self.name)));
                self.told = Told::Kill;
                self.child.start_kill()?;
            }
            return Ok(());
        };
        match self.told {
            Told::Kill => {}
            Told::Nothing => book.add(Violation::Ended(format!("{} ended by itself: {status}", self.name))),
            Told::Stop(_) if status.success() => {}
            Told::Stop(_) => book.add(Violation::Ended(format!("{} stopped badly: {status}", self.name))),
        }
        self.child = spawn(&self.binary, &self.settings, &self.log)?;
        self.told = Told::Nothing;
        self.starts += 1;
        self.disturbed = Instant::now();
        Ok(())
    }
}

fn spawn(binary: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().append(true).open(log)?;
    Command::new(binary)
        .args(["--flows", "--settings"])
        .arg(settings)
        .stderr(log.try_clone()?)
        .stdout(log)
        .kill_on_drop(true)
        .spawn()
}

/// Whether the instance at this address says that it is ready.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let asked = tokio::time::timeout(READY_TIMEOUT, async {
        let mut stream = TcpStream::connect(address).await?;
        let request = format!(
            "GET {} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            adapter::ready::PATH
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await?;
        io::Result::Ok(answer.ends_with(b"200"))
    });
    matches!(asked.await, Ok(Ok(true)))
}
