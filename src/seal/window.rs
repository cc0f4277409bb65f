//! Replay windows: the recently received sequence numbers of each sender, so that no datagram is accepted twice.

use crate::ids;
use crate::seal;

/// The size of a replay window in sequence numbers, counted from the highest received; older ones are rejected.
const WINDOW_BITS: u64 = 128;
/// The idle time after which a sender's window is dropped. By then all of its datagrams are rejected as stale, so
/// that none can be replayed.
const IDLE_MAX_MS: u64 = 3 * seal::CLOCK_SKEW_MAX_MS;

/// The process that sends datagrams: a boot and the random nonce of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Sender {
    pub(super) boot: ids::BootId,
    pub(super) nonce: u64,
}

/// The replay window of one sender.
#[derive(Debug)]
struct Window {
    sender: Sender,
    highest: u64,
    /// Bit `i` is set if the sequence number `highest - i` was received.
    seen: u128,
    last_received_ms: u64,
}

/// The replay windows of all senders, sorted by sender.
#[derive(Debug, Default)]
pub(super) struct Windows {
    windows: Vec<Window>,
    last_sweep_ms: u64,
}

impl Windows {
    /// Records a sequence number. Returns false if it was received before or is older than the window.
    pub(super) fn accept(&mut self, sender: Sender, sequence: u64, now_ms: u64) -> bool {
        self.sweep(now_ms);
        match self.windows.binary_search_by(|window| window.sender.cmp(&sender)) {
            Ok(index) => self.windows[index].accept(sequence, now_ms),
            Err(index) => {
                let window =
                    Window { sender, highest: sequence, seen: 1, last_received_ms: now_ms };
                self.windows.insert(index, window);
                true
            }
        }
    }

    pub(super) fn memory_bytes(&self) -> usize {
        self.windows.capacity() * size_of::<Window>()
    }

    fn sweep(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.last_sweep_ms) < IDLE_MAX_MS {
            return;
        }
        self.last_sweep_ms = now_ms;
        self.windows.retain(|window| now_ms.saturating_sub(window.last_received_ms) < IDLE_MAX_MS);
        self.windows.shrink_to_fit();
    }
}

impl Window {
    fn accept(&mut self, sequence: u64, now_ms: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < WINDOW_BITS { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            self.last_received_ms = now_ms;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_BITS || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        self.last_received_ms = now_ms;
        true
    }
}
