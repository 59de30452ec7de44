//! Limit on the total bytes of all buffered bodies.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes available for buffering.
#[derive(Clone, Debug)]
pub(crate) struct BytesBudget(Arc<Semaphore>);

/// Bytes reserved by one request. They are released on drop.
#[derive(Debug, Default)]
pub(crate) struct ReservedBytes(Option<OwnedSemaphorePermit>);

impl BytesBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))))
    }

    /// Reserves more bytes for a request. Returns false if the budget is exhausted.
    pub fn reserve(&self, reserved: &mut ReservedBytes, bytes: usize) -> bool {
        let Ok(bytes) = u32::try_from(bytes) else {
            return false;
        };
        let Ok(permit) = Arc::clone(&self.0).try_acquire_many_owned(bytes) else {
            return false;
        };
        match reserved.0.as_mut() {
            Some(reserved) => reserved.merge(permit),
            None => reserved.0 = Some(permit),
        }
        true
    }
}
