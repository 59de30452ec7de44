//! A server on one thread, whose processor time is known.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use tokio::runtime::Builder;
use tokio::sync::oneshot;

/// The kernel's link to the directory of the thread that asks.
const OWN_THREAD: &str = "/proc/thread-self";
/// The thread's time on a processor, in nanoseconds, is the first number of this file in it.
const SCHEDULER_STATISTICS: &str = "schedstat";

/// Tells where the server listens, once it does.
pub(super) type Started = mpsc::Sender<SocketAddr>;
/// Completes when the server is to stop.
pub(super) type Stopped = oneshot::Receiver<()>;

/// A server with a thread and a runtime of its own.
pub(super) struct OneCore {
    address: SocketAddr,
    statistics: PathBuf,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<Result<()>>,
}

impl OneCore {
    /// Starts a server.
    pub fn start<Serve, Serving>(name: &str, serve: Serve) -> Result<Self>
    where
        Serve: FnOnce(Started, Stopped) -> Serving + Send + 'static,
        Serving: Future<Output = Result<()>>,
    {
        let (started, address) = mpsc::channel();
        let (told, statistics) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new().name(name.to_owned());
        let thread = thread.spawn(move || {
            let own = std::fs::read_link(OWN_THREAD)?;
            told.send(own)?;
            let runtime = Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(serve(started, stopped))
        })?;
        let Ok(address) = address.recv() else {
            let ended = thread.join().map_err(|_| anyhow!("{name} panicked"))?;
            return Err(ended.err().unwrap_or_else(|| anyhow!("{name} ended")));
        };
        let own = statistics.recv()?;
        Ok(Self {
            address,
            statistics: PathBuf::from("/proc").join(own).join(SCHEDULER_STATISTICS),
            stop,
            thread,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Time that its thread has been on a processor.
    pub fn processor_time(&self) -> Result<Duration> {
        let text = std::fs::read_to_string(&self.statistics)?;
        let first = text.split(' ').next().unwrap_or_default();
        let nanoseconds = first.parse().context("the kernel's statistics")?;
        Ok(Duration::from_nanos(nanoseconds))
    }

    /// Stops it.
    pub async fn stop(self) -> Result<()> {
        // A server that has ended by itself tells why when it is joined.
        let _ = self.stop.send(());
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await?;
        joined.map_err(|_| anyhow!("a server panicked"))?
    }
}
