//! Ports for nodes that are started again at their address.
//!
//! The operating system gives ports of its ephemeral range to any process that connects or asks for a free port, also
//! while a node that needs its port again is down. A [`ReservedPort`] lies outside that range, and other processes
//! that reserve ports don't get it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::ops::Range;

use socket2::{Domain, Socket, Type};

use crate::error::LabError;

/// Below the ephemeral range of Linux.
const PORTS: Range<u16> = 10_000..32_000;
/// Number of ports that are tried.
const MAX_ATTEMPTS: usize = 200;

/// A port of the loopback address, for TCP and UDP, reserved until this is dropped.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a free port.
    ///
    /// # Errors
    /// When no free port is found, or sockets can't be opened.
    pub fn reserve() -> Result<Self, LabError> {
        let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..MAX_ATTEMPTS {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(PORTS)));
            match bind_unless_in_use(address) {
                Ok(socket) => return Ok(Self { address, _socket: socket }),
                Err(error) => last_error = error,
            }
        }
        Err(LabError::Io {
            action: format!("reserve a port from {} to {}", PORTS.start, PORTS.end),
            remedy: "end processes that hold many ports, or raise the limit of open files",
            source: last_error,
        })
    }

    /// Returns the address to listen on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Binds a socket that never listens, so that a node may listen beside it.
fn bind_unless_in_use(address: SocketAddr) -> io::Result<Socket> {
    drop(UdpSocket::bind(address)?);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // Without SO_REUSEADDR a bind fails beside the socket of another reservation.
    socket.bind(&address.into())?;
    socket.set_reuse_address(true)?;
    Ok(socket)
}
