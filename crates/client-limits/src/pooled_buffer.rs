//! A growing buffer whose memory is reserved in a pool.

use bytes::Bytes;

use crate::body_pool::Reservation;

/// Smallest buffer for a body whose length is not known, in bytes.
const MIN_BUFFER_BYTES: usize = 1_024;

/// A buffer whose memory is reserved in a pool.
#[derive(Debug)]
pub(crate) struct PooledBuffer {
    bytes: Vec<u8>,
    /// Released after the bytes.
    pub reservation: Reservation,
}

impl PooledBuffer {
    pub(crate) fn new(reservation: Reservation) -> Self {
        Self {
            bytes: Vec::new(),
            reservation,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The capacity to which the buffer must grow for `additional` more bytes, of `max_bytes` at most; `None` if it is
    /// large enough.
    pub(crate) fn growth(&self, additional: usize, max_bytes: usize) -> Option<usize> {
        let needed = self.bytes.len() + additional;
        if needed <= self.bytes.capacity() {
            return None;
        }
        let doubled = (self.bytes.capacity() * 2).max(MIN_BUFFER_BYTES);
        Some(doubled.min(max_bytes).max(needed))
    }

    /// Grows to a capacity that has been reserved.
    pub(crate) fn grow_to(&mut self, capacity: usize) {
        let additional = capacity.saturating_sub(self.bytes.len());
        self.bytes.reserve_exact(additional);
    }

    /// Copies the bytes, so that a short frame does not keep the buffer alive in which it was received.
    pub(crate) fn append(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
    }

    /// Gives back memory that is not used, and keeps the rest until it is dropped.
    pub(crate) fn seal(&mut self) {
        self.bytes.shrink_to_fit();
        self.reservation.seal(self.bytes.capacity());
    }

    /// The bytes, whose memory stays reserved until the last clone is dropped.
    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for PooledBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
