//! Ports for daemons, which no other soak on this machine takes meanwhile.
//!
//! A daemon that starts again must find its own ports free, so they can't be left to the system. Each soak claims a block
//! of ports by listening at the first one for as long as it runs.

use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, TcpListener, UdpSocket};

use rand::RngExt;

/// Ports from which blocks are taken: below those that the system gives to connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Ports of a block; a daemon needs three.
const BLOCK: u16 = 128;

/// A block of ports that belongs to one soak.
#[derive(Debug)]
pub struct Ports {
    /// Its port is the first one of the block.
    claim: TcpListener,
    next: u16,
    end: u16,
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Ports {
    /// Claims a block.
    ///
    /// # Errors
    /// Fails if all blocks are claimed.
    pub fn claim() -> std::io::Result<Self> {
        let blocks = (PORTS.end - PORTS.start) / BLOCK;
        let first = rand::rng().random_range(0..blocks);
        for block in (first..blocks).chain(0..first) {
            let start = PORTS.start + block * BLOCK;
            match TcpListener::bind(local(start)) {
                Ok(claim) => {
                    return Ok(Self {
                        claim,
                        next: start + 1,
                        end: start + BLOCK,
                    });
                }
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(Error::other("all blocks of ports are claimed"))
    }

    /// An address that was not given before, and of which both ports, TCP and UDP, are free now.
    ///
    /// # Errors
    /// Fails if the block is used up.
    pub fn free_address(&mut self) -> std::io::Result<SocketAddr> {
        while self.next < self.end {
            let address = local(self.next);
            self.next += 1;
            let udp = UdpSocket::bind(address);
            match TcpListener::bind(address).and(udp) {
                Ok(_) => return Ok(address),
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        let claim = self.claim.local_addr()?;
        Err(Error::other(format!("the ports after {claim} are used up")))
    }
}
