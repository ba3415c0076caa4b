//! Binds a node's sockets before its threads start, so that an unavailable address fails the start.
//!
//! The sockets are then passed to the control thread. Peer connections (TCP) and membership (UDP) share one port number.
//!
//! A port that is in use is tried again for [`IN_USE_TIMEOUT`]: it may be held by the instance before, which has not
//! quite ended, or by an outgoing connection of another process.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use tokio::time::Instant;

use super::{NodeAddresses, StartError};
use crate::settings::ListenAddresses;

/// Maximum attempts to find a port that is free for both TCP and UDP when the operating system chooses it.
const MAX_PORT_ATTEMPTS: usize = 32;
/// Time for which the start waits for a port that is in use.
const IN_USE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts to bind a port that is in use.
const IN_USE_PAUSE: Duration = Duration::from_millis(100);

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
    /// Binds all sockets. Waits for ports that are in use, for [`IN_USE_TIMEOUT`] altogether.
    ///
    /// # Errors
    /// Returns [`StartError::Listen`] for the first address that is unavailable.
    pub(super) async fn bind(
        requested: &ListenAddresses,
        readiness: Option<SocketAddr>,
    ) -> Result<Self, StartError> {
        let give_up_at = Instant::now() + IN_USE_TIMEOUT;
        let callers = listen("addresses.callers", requested.callers, give_up_at).await?;
        let operators = listen("addresses.operators", requested.operators, give_up_at).await?;
        let readiness = match readiness {
            Some(address) => Some(listen("addresses.readiness", address, give_up_at).await?),
            None => None,
        };
        let (peers, membership) = listen_pair("addresses.peers", requested.peers, give_up_at).await?;
        let addresses = NodeAddresses {
            callers: local_address("addresses.callers", &callers, requested.callers)?,
            operators: local_address("addresses.operators", &operators, requested.operators)?,
            peers: local_address("addresses.peers", &peers, requested.peers)?,
        };
        Ok(Self { callers, operators, readiness, peers, membership, addresses })
    }
}

async fn listen(
    key: &'static str,
    address: SocketAddr,
    give_up_at: Instant,
) -> Result<TcpListener, StartError> {
    let bind = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    retry_while_in_use(key, address, give_up_at, bind).await
}

/// Calls `bind` until it returns something else than "address in use", or until `give_up_at`.
async fn retry_while_in_use<Socket>(
    key: &'static str,
    address: SocketAddr,
    give_up_at: Instant,
    bind: impl Fn() -> io::Result<Socket>,
) -> Result<Socket, StartError> {
    let mut is_logged = false;
    loop {
        match bind() {
            Ok(socket) => return Ok(socket),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < give_up_at => {}
            Err(source) => return Err(StartError::Listen { key, address, source }),
        }
        if !is_logged {
            log::warn!(target: "node", "{key}: {address} is in use; trying again for {IN_USE_TIMEOUT:?} at most.");
            is_logged = true;
        }
        tokio::time::sleep(IN_USE_PAUSE).await;
    }
}

fn local_address(
    key: &'static str,
    listener: &TcpListener,
    address: SocketAddr,
) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Listen { key, address, source })
}

/// Binds a TCP and a UDP socket to the same port.
async fn listen_pair(
    key: &'static str,
    address: SocketAddr,
    give_up_at: Instant,
) -> Result<(TcpListener, UdpSocket), StartError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let listener = listen(key, address, give_up_at).await?;
        let same_port = local_address(key, &listener, address)?;
        if address.port() != 0 {
            let membership = retry_while_in_use(key, same_port, give_up_at, || bind_udp(same_port)).await?;
            return Ok((listener, membership));
        }
        match bind_udp(same_port) {
            Ok(socket) => return Ok((listener, socket)),
            // The port that the system chose is in use for UDP; it chooses another in the next attempt.
            Err(_) if attempts < MAX_PORT_ATTEMPTS => {}
            Err(source) => return Err(StartError::Listen { key, address: same_port, source }),
        }
    }
}

fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
