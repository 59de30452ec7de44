//! A proxy on the loopback address that passes connections on, late, in one direction, or not at all.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Bytes passed on at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What the proxy does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It passes all on.
    Pass,
    /// It passes all on, each piece this much later.
    Delay(Duration),
    /// It resets all connections.
    Reset,
    /// It passes nothing on and says nothing.
    Silent,
    /// What callers send is passed on, and no answer comes back.
    NoAnswers,
}

/// A proxy in front of one address. Dropping it ends it.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    mode: watch::Sender<Mode>,
    /// Connections that were opened before this number of silencings pass nothing on any more.
    silenced: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(target));
        let (mode, modes) = watch::channel(Mode::Pass);
        let (silenced, silencings) = watch::channel(0);
        let targets = target.clone();
        let task = tokio::spawn(async move {
            loop {
                if let Ok((caller, _)) = listener.accept().await {
                    let target = *targets.lock().unwrap_or_else(PoisonError::into_inner);
                    let silence = Silence::of_new(silencings.clone());
                    tokio::spawn(connection(caller, target, modes.clone(), silence));
                }
            }
        });
        Ok(Self {
            address,
            target,
            mode,
            silenced,
            task,
        })
    }

    /// Stops listening, so that new connections are refused. Those that there are go on.
    pub async fn close(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where new connections go from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Connections that are open now go silent for good, without a reset; new ones work.
    pub fn silence_open(&self) {
        self.silenced.send_modify(|silenced| *silenced += 1);
    }

    /// What it does from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Whether one connection was silenced.
#[derive(Clone, Debug)]
struct Silence {
    opened_at: u64,
    silencings: watch::Receiver<u64>,
}

impl Silence {
    fn of_new(silencings: watch::Receiver<u64>) -> Self {
        let opened_at = *silencings.borrow();
        Self {
            opened_at,
            silencings,
        }
    }

    fn is_silenced(&self) -> bool {
        *self.silencings.borrow() > self.opened_at
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn connection(
    caller: TcpStream,
    target: SocketAddr,
    mut modes: watch::Receiver<Mode>,
    silence: Silence,
) {
    let _ = caller.set_nodelay(true);
    reset(&caller);
    let _ = modes.wait_for(|mode| !matches!(mode, Mode::Silent)).await;
    if *modes.borrow() == Mode::Reset {
        return;
    }
    let Ok(back_end) = TcpStream::connect(target).await else {
        return;
    };
    let _ = back_end.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (back_end_read, back_end_write) = back_end.into_split();
    let mut resets = modes.clone();
    tokio::select! {
        () = pass(caller_read, back_end_write, modes.clone(), silence.clone(), false) => {}
        () = pass(back_end_read, caller_write, modes, silence, true) => {}
        _ = resets.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

/// Passes bytes on in one direction until it ends.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    silence: Silence,
    are_answers: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(length) if length > 0 => length,
            // The end of one side does not show at the other.
            _ if silence.is_silenced() => return std::future::pending().await,
            _ => return,
        };
        if silence.is_silenced() {
            continue;
        }
        let is_open = |mode: &Mode| match mode {
            Mode::Silent => false,
            Mode::NoAnswers => !are_answers,
            Mode::Pass | Mode::Delay(_) | Mode::Reset => true,
        };
        if modes.wait_for(is_open).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let Mode::Delay(delay) = mode {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
