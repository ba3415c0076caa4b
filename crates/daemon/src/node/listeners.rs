//! Binds a node's sockets before its threads start, so that an unavailable address fails the start.
//!
//! The sockets are then passed to the control thread. Peer connections (TCP) and membership (UDP) share one port number.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use super::{NodeAddresses, StartError};
use crate::settings::ListenAddresses;

/// Maximum attempts to find a port that is free for both TCP and UDP when the operating system chooses it.
const MAX_PORT_ATTEMPTS: usize = 32;

/// Bound sockets that are not yet registered with a runtime.
pub(super) struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) operators: TcpListener,
    pub(super) readiness: Option<TcpListener>,
    pub(super) peers: TcpListener,
    pub(super) membership: UdpSocket,
    pub(super) addresses: NodeAddresses,
}

impl Listeners {
    /// Binds all sockets.
    ///
    /// # Errors
    /// Returns [`StartError::Listen`] for the first address that is unavailable.
    pub(super) fn bind(
        requested: &ListenAddresses,
        readiness: Option<SocketAddr>,
    ) -> Result<Self, StartError> {
        let callers = listen("addresses.callers", requested.callers)?;
        let operators = listen("addresses.operators", requested.operators)?;
        let readiness = readiness.map(|address| listen("addresses.readiness", address)).transpose()?;
        let (peers, membership) = listen_pair("addresses.peers", requested.peers)?;
        let addresses = NodeAddresses {
            callers: local_address("addresses.callers", &callers, requested.callers)?,
            operators: local_address("addresses.operators", &operators, requested.operators)?,
            peers: local_address("addresses.peers", &peers, requested.peers)?,
        };
        Ok(Self { callers, operators, readiness, peers, membership, addresses })
    }
}

fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bind = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    bind().map_err(|source| StartError::Listen { key, address, source })
}

fn local_address(
    key: &'static str,
    listener: &TcpListener,
    address: SocketAddr,
) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Listen { key, address, source })
}

/// Binds a TCP and a UDP socket to the same port.
fn listen_pair(key: &'static str, address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let listener = listen(key, address)?;
        let same_port = local_address(key, &listener, address)?;
        match bind_udp(same_port) {
            Ok(socket) => return Ok((listener, socket)),
            // The port that the system chose is in use for UDP; it chooses another in the next attempt.
            Err(_) if address.port() == 0 && attempts < MAX_PORT_ATTEMPTS => {}
            Err(source) => return Err(StartError::Listen { key, address: same_port, source }),
        }
    }
}

fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
