//! Metrics of incoming peer connections.

use std::sync::Arc;

use lichenpulley_protocol::transport::{Direction, FrameMeter};
use prometheus::{IntCounter, IntCounterVec, Registry};

use super::registration;

/// Counters of frames, their bytes, and connections closed because of an error.
#[derive(Clone)]
pub(super) struct PeerMetrics {
    frames: IntCounterVec,
    bytes: IntCounterVec,
    closed: IntCounterVec,
}

impl PeerMetrics {
    pub(super) fn new(registry: &Registry) -> Self {
        Self {
            frames: registration::counter_vec(
                registry,
                "lichenpulley_peer_frames_total",
                "Frames on connections that peers made to this node, by direction",
                &["direction"],
            ),
            bytes: registration::counter_vec(
                registry,
                "lichenpulley_peer_bytes_total",
                "Bytes of these frames, without TCP and IP headers, by direction",
                &["direction"],
            ),
            closed: registration::counter_vec(
                registry,
                "lichenpulley_peer_connections_closed_total",
                "Peers' connections closed for what arrived on them, by reason",
                &["reason"],
            ),
        }
    }

    pub(super) fn count_closed(&self, reason: &str) {
        self.closed.with_label_values(&[reason]).inc();
    }

    /// Returns a meter that counts the frames of one connection.
    pub(super) fn frame_meter(&self) -> FrameMeter {
        let received = FrameCounters::new(self, "received");
        let sent = FrameCounters::new(self, "sent");
        Arc::new(move |direction, bytes| match direction {
            Direction::Received => received.count(bytes),
            Direction::Sent => sent.count(bytes),
        })
    }
}

/// Counters of one direction, looked up once per connection instead of once per frame.
struct FrameCounters {
    frames: IntCounter,
    bytes: IntCounter,
}

impl FrameCounters {
    fn new(metrics: &PeerMetrics, direction: &str) -> Self {
        Self {
            frames: metrics.frames.with_label_values(&[direction]),
            bytes: metrics.bytes.with_label_values(&[direction]),
        }
    }

    fn count(&self, bytes: usize) {
        self.frames.inc();
        self.bytes.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }
}
