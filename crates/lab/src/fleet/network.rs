//! The network between daemons: delays, losses, cuts, and the bytes that messages take on the wire.

use std::collections::BTreeSet;

use flaxward_wire::MAX_DATAGRAM_BYTES;

/// Headers of IP and UDP.
const DATAGRAM_HEADERS: u64 = 28;
/// Headers of IP and TCP, without options; also the length of a bare acknowledgement.
const SEGMENT_HEADERS: u64 = 40;
/// Payload of a TCP segment.
const SEGMENT_PAYLOAD: u64 = 1_460;
/// Length prefix of a message sent by TCP.
const LENGTH_PREFIX: u64 = 4;
/// Segments without payload that the side which opens a connection sends: SYN, ACK, FIN, last ACK.
const OPENER_CONTROL_SEGMENTS: u64 = 4;
/// Segments without payload that the other side sends: SYN-ACK, ACK of the FIN, FIN.
const ACCEPTER_CONTROL_SEGMENTS: u64 = 3;

/// One way within a zone, in milliseconds.
const ZONE_DELAY: u64 = 1;
/// One way between two zones of a region, in milliseconds.
const REGION_DELAY: u64 = 2;
/// One way between two regions, in milliseconds: from here on, by their distance.
const FAR_DELAY: u64 = 30;
/// What each region in between adds, in milliseconds.
const FAR_DELAY_STEP: u64 = 10;

/// Bytes that one message or call takes on the wire, as seen by one side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WireBytes {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl WireBytes {
    /// The same as the other side sees it.
    #[must_use]
    pub fn reversed(self) -> Self {
        Self {
            sent: self.received,
            received: self.sent,
        }
    }
}

/// Whether a message of this length goes as a datagram.
pub fn is_datagram(payload: usize) -> bool {
    payload <= MAX_DATAGRAM_BYTES
}

/// What a message between daemons costs its sender.
pub fn message_bytes(payload: usize) -> WireBytes {
    let length = payload as u64;
    if is_datagram(payload) {
        return WireBytes {
            sent: length + DATAGRAM_HEADERS,
            received: 0,
        };
    }
    let length = length + LENGTH_PREFIX;
    let segments = length.div_ceil(SEGMENT_PAYLOAD);
    let acknowledgements = segments.div_ceil(2);
    WireBytes {
        sent: length + (segments + OPENER_CONTROL_SEGMENTS) * SEGMENT_HEADERS,
        received: (acknowledgements + ACCEPTER_CONTROL_SEGMENTS) * SEGMENT_HEADERS,
    }
}

/// What a request and its answer cost the client on a connection that is kept open. Each side
/// acknowledges every second segment; the first acknowledgement of the request rides on the answer.
pub fn call_bytes(request: u64, answer: u64) -> WireBytes {
    let request_segments = request.div_ceil(SEGMENT_PAYLOAD);
    let answer_segments = answer.div_ceil(SEGMENT_PAYLOAD);
    let answer_acknowledgements = answer_segments.div_ceil(2);
    let request_acknowledgements = request_segments.div_ceil(2).saturating_sub(1);
    WireBytes {
        sent: request + (request_segments + answer_acknowledgements) * SEGMENT_HEADERS,
        received: answer + (answer_segments + request_acknowledgements) * SEGMENT_HEADERS,
    }
}

/// Delays and cuts between zones.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Regions that are cut off from every other one.
    pub(super) cut: BTreeSet<usize>,
    /// Datagrams lost, of a million.
    pub lost_per_million: u32,
}

impl Network {
    /// Cuts every region off from every other one.
    pub fn cut_all(&mut self, regions: usize) {
        self.cut = (0..regions).collect();
    }

    /// Joins all regions again.
    pub fn join_all(&mut self) {
        self.cut.clear();
    }

    /// Whether something sent in one region arrives in the other.
    pub fn connects(&self, from: usize, to: usize) -> bool {
        from == to || !(self.cut.contains(&from) || self.cut.contains(&to))
    }

    #[expect(clippy::unused_self, reason = "the delay belongs to the network")]
    /// One way between two zones, each given by its place and its region, in milliseconds.
    pub fn delay(&self, from: (usize, usize), to: (usize, usize)) -> u64 {
        if from.0 == to.0 {
            return ZONE_DELAY;
        }
        match from.1.abs_diff(to.1) {
            0 => REGION_DELAY,
            distance => FAR_DELAY + FAR_DELAY_STEP * (distance as u64),
        }
    }
}
