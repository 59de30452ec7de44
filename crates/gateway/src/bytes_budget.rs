//! A bound on the bytes of all bodies that are held at one time.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that may be held.
#[derive(Clone, Debug)]
pub(crate) struct BytesBudget(Arc<Semaphore>);

/// Bytes that one request holds. They are free again when it is dropped.
#[derive(Debug, Default)]
pub(crate) struct HeldBytes(Option<OwnedSemaphorePermit>);

impl BytesBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))))
    }

    /// Holds more bytes for a request. False if there is no room for them.
    pub fn hold(&self, held: &mut HeldBytes, bytes: usize) -> bool {
        let Ok(bytes) = u32::try_from(bytes) else {
            return false;
        };
        let Ok(permit) = Arc::clone(&self.0).try_acquire_many_owned(bytes) else {
            return false;
        };
        match held.0.as_mut() {
            Some(held) => held.merge(permit),
            None => held.0 = Some(permit),
        }
        true
    }
}
