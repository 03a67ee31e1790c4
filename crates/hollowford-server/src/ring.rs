//! Bounded rings that join the duties.
//!
//! A ring has one consumer and any number of producers. A producer that must not
//! wait gets its item back when the ring is full, and refuses its caller.

use crossbeam_queue::ArrayQueue;
use std::sync::Arc;
use tokio::sync::Notify;

/// A bounded ring. Cheap to clone; all clones are the same ring.
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
    /// Makes a ring for `bound` items.
    pub fn new(capacity: usize) -> Ring<T> {
        let inner = Inner {
            queue: ArrayQueue::new(capacity),
            item_added: Notify::new(),
            room_available: Notify::new(),
        };
        Ring { inner: Arc::new(inner) }
    }

    /// Puts an item in.
    ///
    /// # Errors
    /// Gives the item back when the ring is full.
    pub fn push(&self, item: T) -> Result<(), T> {
        self.inner.queue.push(item)?;
        self.inner.item_added.notify_one();
        Ok(())
    }

    /// Puts an item in, waiting for room.
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

    /// Takes the oldest item, if there is one.
    pub fn pop(&self) -> Option<T> {
        let item = self.inner.queue.pop();
        if item.is_some() {
            self.inner.room_available.notify_one();
        }
        item
    }

    /// Waits until the ring may hold an item, or [`Ring::wake`] is called. For the
    /// one consumer.
    pub async fn ready(&self) {
        if self.inner.queue.is_empty() {
            self.inner.item_added.notified().await;
        }
    }

    /// Takes the oldest item, waiting for one. For the one consumer.
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

    /// Returns how many items wait.
    pub fn len(&self) -> usize {
        self.inner.queue.len()
    }

    /// Tells whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.inner.queue.is_empty()
    }
}
