//! Binds a node's sockets, before any thread of it starts, so that an address that can't be had refuses the start.
//!
//! Owns the sockets until the control thread takes them. Peers' TCP and membership's UDP share one port.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use super::{NodeAddresses, StartError};
use crate::settings::ListenAddresses;

/// Tries to find a port that is free for both TCP and UDP, where the system chooses it. Chosen, not measured: fewer may
/// fail on a machine with many sockets, where a try costs microseconds.
const PORT_PAIR_TRIES: usize = 32;

/// Sockets that listen, not yet bound to a runtime.
pub(super) struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) operators: TcpListener,
    pub(super) readiness: Option<TcpListener>,
    pub(super) peers: TcpListener,
    pub(super) membership: UdpSocket,
    pub(super) addresses: NodeAddresses,
}

impl Listeners {
    pub(super) fn bind(wanted: &ListenAddresses, readiness: Option<SocketAddr>) -> Result<Self, StartError> {
        let callers = listen("addresses.callers", wanted.callers)?;
        let operators = listen("addresses.operators", wanted.operators)?;
        let readiness = readiness.map(|address| listen("addresses.readiness", address)).transpose()?;
        let (peers, membership) = listen_pair("addresses.peers", wanted.peers)?;
        let addresses = NodeAddresses {
            callers: bound("addresses.callers", &callers, wanted.callers)?,
            operators: bound("addresses.operators", &operators, wanted.operators)?,
            peers: bound("addresses.peers", &peers, wanted.peers)?,
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

fn bound(key: &'static str, listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Listen { key, address, source })
}

/// A TCP and a UDP socket with the same port.
fn listen_pair(key: &'static str, address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let mut tries = 0;
    loop {
        tries += 1;
        let listener = listen(key, address)?;
        let same_port = bound(key, &listener, address)?;
        match bind_udp(same_port) {
            Ok(socket) => return Ok((listener, socket)),
            // The system chose a port that is taken for UDP: let it choose another.
            Err(_) if address.port() == 0 && tries < PORT_PAIR_TRIES => {}
            Err(source) => return Err(StartError::Listen { key, address: same_port, source }),
        }
    }
}

fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
