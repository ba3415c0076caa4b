//! Connection to one peer, opened on first use and reopened with backoff after a failure.
//!
//! Only one caller connects at a time; the others wait for it.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use lichenpulley_core::retry::backoff::Backoff;
use lichenpulley_protocol::internal::PeerClient;
use lichenpulley_protocol::transport;
use tarpc::client::RpcError;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::PeerError;
use crate::http::socket::{self, SocketLimits};
use crate::settings::PeerSettings;
use lichenpulley_core::time::whole_millis;

/// Pause after consecutive failures to connect. A restarted member is reached again within half a second.
const CONNECT_BACKOFF: Backoff = Backoff::new(Duration::from_millis(50), Duration::from_millis(500));

/// Connection to a peer, open or to be opened by the next call.
pub(super) struct Connection {
    address: SocketAddr,
    runtime: Handle,
    settings: PeerSettings,
    created: Instant,
    client: Arc<ArcSwapOption<PeerClient>>,
    /// Locked while connecting; callers that find the connection open don't lock it.
    connecting: Mutex<ConnectFailures>,
    /// Time of the last call, in milliseconds since `created`.
    last_used_ms: AtomicU64,
}

/// Consecutive failures to connect and the time of the next attempt.
#[derive(Default)]
struct ConnectFailures {
    consecutive: u32,
    next_try: Option<Instant>,
    last_failure: String,
}

/// A call on an open connection.
pub(super) struct PeerCall {
    address: SocketAddr,
    client: Arc<PeerClient>,
    deadline: Instant,
}

impl Connection {
    pub(super) fn new(address: SocketAddr, runtime: Handle, settings: PeerSettings) -> Self {
        Self {
            address,
            runtime,
            settings,
            created: Instant::now(),
            client: Arc::default(),
            connecting: Mutex::default(),
            last_used_ms: AtomicU64::new(0),
        }
    }

    /// Returns whether the connection is open.
    pub(super) fn is_open(&self) -> bool {
        self.client.load().is_some()
    }

    /// Prepares a call, connecting first if necessary.
    pub(super) async fn start_call(&self, deadline: Instant) -> Result<PeerCall, PeerError> {
        self.last_used_ms.store(self.age_ms(), Ordering::Relaxed);
        let connected = tokio::time::timeout_at(deadline, self.open()).await;
        let client = connected.unwrap_or_else(|_| Err(self.not_sent("no connection by the deadline")))?;
        Ok(PeerCall { address: self.address, client, deadline })
    }

    /// Closes the connection if it has been idle for the configured time. Returns whether it was idle. Calls
    /// in progress still complete.
    pub(super) fn close_if_idle(&self) -> bool {
        let idle_ms = self.age_ms().saturating_sub(self.last_used_ms.load(Ordering::Relaxed));
        let idle = Duration::from_millis(idle_ms) >= self.settings.idle;
        if idle {
            self.client.store(None);
        }
        idle
    }

    async fn open(&self) -> Result<Arc<PeerClient>, PeerError> {
        if let Some(client) = self.client.load_full() {
            return Ok(client);
        }
        let mut failures = self.connecting.lock().await;
        if let Some(client) = self.client.load_full() {
            return Ok(client);
        }
        if failures.next_try.is_some_and(|next_try| Instant::now() < next_try) {
            let reason = format!("waiting to connect again after: {}", failures.last_failure);
            return Err(self.not_sent(&reason));
        }
        match self.connect().await {
            Ok(client) => {
                *failures = ConnectFailures::default();
                Ok(client)
            }
            Err(reason) => {
                let error = self.not_sent(&reason);
                failures.record(reason);
                Err(error)
            }
        }
    }

    async fn connect(&self) -> Result<Arc<PeerClient>, String> {
        let (address, timeout) = (self.address, self.settings.connect_timeout);
        let limits = SocketLimits { stall_timeout: self.settings.stall_timeout };
        // The control runtime drives the connection, so the stream is created there.
        let connecting = self.runtime.spawn(async move {
            let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
            let stream = stream.map_err(|_| "the connection took too long".to_owned())?;
            let stream = stream.map_err(|error| error.to_string())?;
            socket::prepare(&stream, limits).map_err(|error| error.to_string())?;
            Ok::<_, String>(stream)
        });
        let stream = connecting.await.map_err(|_| "the node is stopping".to_owned())??;
        let framed = transport::client(stream);
        let client = PeerClient::new(tarpc::client::Config::default(), framed);
        let stub = Arc::new(client.client);
        self.client.store(Some(Arc::clone(&stub)));
        let slot = Arc::clone(&self.client);
        let opened_stub = Arc::downgrade(&stub);
        let dispatch = client.dispatch;
        self.runtime.spawn(async move {
            if let Err(error) = dispatch.await {
                log::info!(target: "peers", "The connection to {address} ended: {error}.");
            }
            clear_slot(&slot, &opened_stub);
        });
        Ok(stub)
    }

    fn age_ms(&self) -> u64 {
        whole_millis(self.created.elapsed())
    }

    fn not_sent(&self, reason: &str) -> PeerError {
        PeerError::NotSent { address: self.address, reason: reason.to_owned() }
    }
}

impl ConnectFailures {
    fn record(&mut self, reason: String) {
        self.consecutive = self.consecutive.saturating_add(1);
        self.next_try = Some(Instant::now() + CONNECT_BACKOFF.pause(self.consecutive));
        self.last_failure = reason;
    }
}

impl PeerCall {
    pub(super) fn client(&self) -> &PeerClient {
        &self.client
    }

    /// Returns the request's context; the deadline is transmitted with the request as time remaining.
    pub(super) fn context(&self) -> tarpc::context::Context {
        let mut context = tarpc::context::current();
        context.deadline = self.deadline.into_std();
        context
    }

    /// Waits for the answer.
    pub(super) async fn finish<Answer>(
        &self,
        call: impl Future<Output = Result<Answer, RpcError>>,
    ) -> Result<Answer, PeerError> {
        let answered = tokio::time::timeout_at(self.deadline, call).await;
        let reason = match answered {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer by the deadline".to_owned(),
        };
        Err(PeerError::NoAnswer { address: self.address, reason })
    }
}

/// Clears the slot after a connection has ended, unless it already holds a newer connection.
fn clear_slot(slot: &ArcSwapOption<PeerClient>, ended: &std::sync::Weak<PeerClient>) {
    let current = slot.load();
    let is_ended = current.as_ref().is_some_and(|client| Arc::as_ptr(client) == ended.as_ptr());
    if is_ended {
        slot.compare_and_swap(&current, None);
    }
}
