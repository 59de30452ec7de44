//! A daemon's way to the store: passes bytes on, or holds them while it is cut.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

pub struct Way {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Way {
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = is_cut.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let Ok(to) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (from.set_nodelay(true), to.set_nodelay(true));
                let (Ok(back_from), Ok(back_to)) = (to.try_clone(), from.try_clone()) else {
                    continue;
                };
                let (out, back) = (cut.clone(), cut.clone());
                thread::spawn(move || pass(from, to, &out));
                thread::spawn(move || pass(back_from, back_to, &back));
            }
        });
        Ok(Self { address, is_cut })
    }

    /// Cuts the way: nothing is answered, and nothing is reset. Or heals it.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 16 * 1024];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
