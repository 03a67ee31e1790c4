//! Bounded queues between the threads of a process.
//!
//! A ring has one consumer and any number of producers. A producer that must not wait gets its
//! item back when the ring is full, and refuses the call.

use crossbeam_queue::ArrayQueue;
use std::sync::Arc;
use tokio::sync::Notify;

/// A bounded queue with one consumer. Cheap to clone; all clones share the same queue.
#[derive(Debug)]
pub struct Ring<T> {
    inner: Arc<Inner<T>>,
}

#[derive(Debug)]
struct Inner<T> {
    queue: ArrayQueue<T>,
    item_added: Notify,
    room_available: Notify,
}

impl<T> Clone for Ring<T> {
    fn clone(&self) -> Ring<T> {
        Ring { inner: self.inner.clone() }
    }
}

impl<T> Ring<T> {
    /// Creates a ring for at most `capacity` items.
    pub fn new(capacity: usize) -> Ring<T> {
        let inner = Inner {
            queue: ArrayQueue::new(capacity),
            item_added: Notify::new(),
            room_available: Notify::new(),
        };
        Ring { inner: Arc::new(inner) }
    }

    /// Adds an item without waiting.
    ///
    /// # Errors
    /// Returns the item if the ring is full.
    pub fn push(&self, item: T) -> Result<(), T> {
        self.inner.queue.push(item)?;
        self.inner.item_added.notify_one();
        Ok(())
    }

    /// Adds an item, waiting while the ring is full.
    pub async fn send(&self, item: T) {
        let mut item = item;
        loop {
            let room = self.inner.room_available.notified();
            match self.push(item) {
                Ok(()) => return,
                Err(returned) => item = returned,
            }
            room.await;
        }
    }

    /// Removes and returns the oldest item, if there is one.
    pub fn pop(&self) -> Option<T> {
        let item = self.inner.queue.pop();
        if item.is_some() {
            self.inner.room_available.notify_one();
        }
        item
    }

    /// Waits until the ring may hold an item or [`Ring::wake`] is called. Only the consumer may
    /// call this.
    pub async fn ready(&self) {
        if self.inner.queue.is_empty() {
            self.inner.item_added.notified().await;
        }
    }

    /// Removes and returns the oldest item, waiting for one. Only the consumer may call this.
    pub async fn recv(&self) -> T {
        loop {
            if let Some(item) = self.pop() {
                return item;
            }
            self.inner.item_added.notified().await;
        }
    }

    /// Wakes the consumer without an item.
    pub fn wake(&self) {
        self.inner.item_added.notify_one();
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.inner.queue.len()
    }

    /// Returns true if no item is queued.
    pub fn is_empty(&self) -> bool {
        self.inner.queue.is_empty()
    }
}
