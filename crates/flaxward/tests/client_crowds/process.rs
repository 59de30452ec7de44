//! What a process uses, as the system counts it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

/// Interval between two looks at a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Looks between which nothing changes once a process has read what it reads.
const SETTLED_LOOKS: usize = 25;
/// Longest wait for that, in looks.
const MAX_LOOKS: usize = 3_000;

/// Bytes of 1 MB.
const BYTES_PER_MB: usize = 1_000_000;
/// Bytes of the kilobytes of `/proc`.
const BYTES_PER_KB: usize = 1_024;
/// State of an established connection in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";

/// A line of `/proc/PID/status`, in bytes; `None` if the process has ended.
fn status_bytes(process: u32, name: &str) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kilobytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * BYTES_PER_KB)
}

/// Open descriptors of a process; `None` if it has ended.
fn open_descriptors(process: u32) -> Option<usize> {
    let entries = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?;
    Some(entries.count())
}

/// Bytes that have arrived at connections of a listener and that nobody has read.
fn unread_bytes(listener: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let port = format!(":{:04X}", listener.port());
    let unread = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let local = fields.next()?;
        let state = fields.nth(1)?;
        let (_, received) = fields.next()?.split_once(':')?;
        let is_counted = local.ends_with(&port) && state == ESTABLISHED;
        is_counted.then(|| usize::from_str_radix(received, 16).ok())?
    });
    unread.sum()
}

/// Highest values since the start of a watch.
#[derive(Debug, Default)]
struct Peaks {
    descriptors: AtomicUsize,
    /// Resident memory and bytes that have arrived and are unread.
    memory: AtomicUsize,
}

/// Watches a process until it is dropped.
pub struct Watch {
    process: u32,
    listener: SocketAddr,
    peaks: Arc<Peaks>,
    _looking: AbortOnDropHandle<()>,
}

impl Watch {
    /// Watches a process and the connections that its clients open.
    pub fn start(process: u32, listener: SocketAddr) -> Self {
        let peaks = Arc::new(Peaks::default());
        let seen = Arc::clone(&peaks);
        let looking = tokio::spawn(async move {
            while look(process, listener, &seen).is_some() {
                sleep(LOOK_INTERVAL).await;
            }
        });
        Self {
            process,
            listener,
            peaks,
            _looking: AbortOnDropHandle::new(looking),
        }
    }

    /// Waits until the process has read what it reads of what its clients have sent.
    pub async fn settled(&self) {
        let mut unread = unread_bytes(self.listener);
        let mut unchanged = 0;
        for _ in 0..MAX_LOOKS {
            sleep(LOOK_INTERVAL).await;
            let before = std::mem::replace(&mut unread, unread_bytes(self.listener));
            unchanged = if unread == before { unchanged + 1 } else { 0 };
            if unchanged >= SETTLED_LOOKS {
                break;
            }
        }
        look(self.process, self.listener, &self.peaks).expect("the process lives");
    }

    /// Asserts that the process has stayed within its memory and descriptors.
    pub fn assert_within(&self, memory_mb: usize, descriptors: usize) {
        let resident = status_bytes(self.process, "VmHWM:").expect("the process lives");
        let memory = self.peaks.memory.load(Ordering::Relaxed).max(resident) / BYTES_PER_MB;
        let open = self.peaks.descriptors.load(Ordering::Relaxed);
        println!("peak memory {memory} MB of {memory_mb}, descriptors {open} of {descriptors}");
        assert!(
            memory <= memory_mb,
            "{memory} MB of memory, {memory_mb} allowed"
        );
        assert!(
            open <= descriptors,
            "{open} descriptors, {descriptors} allowed"
        );
    }
}

fn look(process: u32, listener: SocketAddr, peaks: &Peaks) -> Option<()> {
    let memory = status_bytes(process, "VmRSS:")? + unread_bytes(listener);
    peaks.memory.fetch_max(memory, Ordering::Relaxed);
    let descriptors = open_descriptors(process)?;
    peaks.descriptors.fetch_max(descriptors, Ordering::Relaxed);
    Some(())
}
