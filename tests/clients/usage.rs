//! What a process holds of its instance's memory and descriptors.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::task::JoinHandle;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// State of a listening socket in `/proc/net/tcp`.
const LISTEN: &str = "0A";

/// The most that a process held while it was observed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peak {
    /// Resident memory and bytes received and not yet read.
    pub(crate) memory_bytes: u64,
    /// Open descriptors.
    pub(crate) descriptors: usize,
}

impl Peak {
    fn now(id: u32, ip: IpAddr) -> Self {
        Self {
            memory_bytes: resident_bytes(id) + unread_bytes(ip),
            descriptors: descriptors(id),
        }
    }

    fn rise_to(&mut self, now: Self) {
        self.memory_bytes = self.memory_bytes.max(now.memory_bytes);
        self.descriptors = self.descriptors.max(now.descriptors);
    }
}

/// Samples a process until it is asked for the peak.
pub(crate) struct Usage {
    id: u32,
    ip: IpAddr,
    task: JoinHandle<()>,
    peak: Arc<Mutex<Peak>>,
}

impl Usage {
    /// Observes the process `id`, whose callers connect to `address`.
    pub(crate) fn observe(id: u32, address: SocketAddr) -> Self {
        let ip = address.ip();
        let peak = Arc::new(Mutex::new(Peak::default()));
        let sampled = peak.clone();
        let task = tokio::spawn(async move {
            loop {
                sampled
                    .lock()
                    .expect("not poisoned")
                    .rise_to(Peak::now(id, ip));
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { id, ip, task, peak }
    }

    /// Takes another sample and returns the peak so far.
    pub(crate) fn peak(&self) -> Peak {
        let now = Peak::now(self.id, self.ip);
        let mut peak = self.peak.lock().expect("not poisoned");
        peak.rise_to(now);
        *peak
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the resident memory of a process; 0 if it has ended.
fn resident_bytes(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = resident.map(|value| value.trim().trim_end_matches(" kB"));
    kb.map_or(0, |kb| kb.parse::<u64>().expect("a number") << 10)
}

fn descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes that the sockets of an address have received and no process has read.
fn unread_bytes(ip: IpAddr) -> u64 {
    let sockets = Socket::list();
    let received = sockets.iter().filter(|s| s.local == ip);
    received.map(|s| s.unread).sum()
}

/// Returns the bytes on their way to an address: sent and not yet received, or received and not yet read.
pub(crate) fn bytes_under_way(ip: IpAddr) -> u64 {
    let sockets = Socket::list();
    let sent = sockets.iter().filter(|s| s.remote == ip);
    sent.map(|s| s.unsent).sum::<u64>() + unread_bytes(ip)
}

/// A connected socket of this machine.
struct Socket {
    local: IpAddr,
    remote: IpAddr,
    /// Bytes that the other side has not acknowledged.
    unsent: u64,
    /// Bytes that its process has not read.
    unread: u64,
}

impl Socket {
    fn list() -> Vec<Self> {
        let sockets = fs::read_to_string("/proc/net/tcp").expect("a list of sockets");
        sockets.lines().skip(1).filter_map(Self::parse).collect()
    }

    fn parse(line: &str) -> Option<Self> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (unsent, unread) = fields[4].split_once(':')?;
        let is_connected = fields[3] != LISTEN;
        is_connected.then(|| Self {
            local: parse_ip(fields[1]),
            remote: parse_ip(fields[2]),
            unsent: parse_hex(unsent),
            unread: parse_hex(unread),
        })
    }
}

fn parse_ip(endpoint: &str) -> IpAddr {
    let (ip, _) = endpoint.split_once(':').expect("an address and a port");
    let ip = u32::try_from(parse_hex(ip)).expect("an IPv4 address");
    // The kernel writes the octets as a number of the machine's byte order.
    Ipv4Addr::from(ip.to_ne_bytes()).into()
}

fn parse_hex(number: &str) -> u64 {
    u64::from_str_radix(number, 16).expect("a number")
}
