//! Counters of the peer transport.

use flaxward_types::Metric;
use metrics::counter;

/// All metrics of this crate.
pub const METRICS: [Metric; 9] = [
    DATAGRAMS_SENT,
    DATAGRAM_BYTES_SENT,
    DATAGRAMS_RECEIVED,
    DATAGRAM_BYTES_RECEIVED,
    STREAMS_SENT,
    STREAM_BYTES_SENT,
    STREAMS_RECEIVED,
    STREAM_BYTES_RECEIVED,
    DROPPED,
];

/// Datagrams sent.
pub const DATAGRAMS_SENT: Metric =
    Metric::counter("flaxward_peer_datagrams_sent_total", "Datagrams sent.");
/// Bytes of datagrams sent, without IP and UDP headers.
pub const DATAGRAM_BYTES_SENT: Metric = Metric::counter(
    "flaxward_peer_datagram_bytes_sent_total",
    "Bytes of datagrams sent, without IP and UDP headers.",
);
/// Datagrams received, including those dropped later.
pub const DATAGRAMS_RECEIVED: Metric = Metric::counter(
    "flaxward_peer_datagrams_received_total",
    "Datagrams received, whatever became of them.",
);
/// Bytes of datagrams received, without IP and UDP headers.
pub const DATAGRAM_BYTES_RECEIVED: Metric = Metric::counter(
    "flaxward_peer_datagram_bytes_received_total",
    "Bytes of datagrams received, without IP and UDP headers.",
);
/// Messages sent over TCP.
pub const STREAMS_SENT: Metric =
    Metric::counter("flaxward_peer_streams_sent_total", "Messages sent by TCP.");
/// Bytes of messages sent over TCP.
pub const STREAM_BYTES_SENT: Metric = Metric::counter(
    "flaxward_peer_stream_bytes_sent_total",
    "Bytes of messages sent by TCP.",
);
/// Messages received over TCP, including those dropped later.
pub const STREAMS_RECEIVED: Metric = Metric::counter(
    "flaxward_peer_streams_received_total",
    "Messages received by TCP, whatever became of them.",
);
/// Bytes of messages received over TCP.
pub const STREAM_BYTES_RECEIVED: Metric = Metric::counter(
    "flaxward_peer_stream_bytes_received_total",
    "Bytes of messages received by TCP.",
);
/// Messages that were not sent or not accepted, by label `reason`.
pub const DROPPED: Metric = Metric::counter(
    "flaxward_peer_dropped_total",
    "Messages that were not sent or not taken in, by label `reason`.",
);

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Malformed, or of an unsupported wire version.
    Undecodable,
    /// Longer than the limit.
    TooLong,
    /// Not received or not sent within the time limit.
    TooSlow,
    /// Too many transfers in progress.
    TooMany,
    /// Send or receive error of the operating system.
    SystemError,
    /// The daemon does not process messages as fast as they arrive.
    QueueFull,
}

impl DropReason {
    /// Value of the label `reason`.
    pub fn label(self) -> &'static str {
        match self {
            Self::Undecodable => "undecodable",
            Self::TooLong => "too_long",
            Self::TooSlow => "too_slow",
            Self::TooMany => "too_many",
            Self::SystemError => "system_error",
            Self::QueueFull => "queue_full",
        }
    }
}

/// Counts a dropped message.
pub(crate) fn count_dropped(reason: DropReason) {
    counter!(DROPPED.name, "reason" => reason.label()).increment(1);
}

/// Counts one transferred message and its bytes.
pub(crate) fn count_message(messages: Metric, bytes: Metric, length: usize) {
    counter!(messages.name).increment(1);
    counter!(bytes.name).increment(length as u64);
}
