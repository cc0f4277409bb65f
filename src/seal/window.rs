//! Which datagrams of each sender were received, so that none is accepted twice.

use crate::ids;
use crate::seal;

/// How many sequence numbers below the highest one are told apart; older ones are refused.
const WINDOW_BITS: u64 = 128;
/// A sender that is silent for so long has only datagrams left that are too old, in milliseconds.
const IDLE_MAX_MS: u64 = 3 * seal::CLOCK_SKEW_MAX_MS;

/// One boot of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Sender {
    pub(super) boot: ids::BootId,
    pub(super) nonce: u64,
}

#[derive(Debug)]
struct Window {
    sender: Sender,
    highest: u64,
    /// Bit `i` stands for the sequence number `highest - i`.
    seen: u128,
    last_received_ms: u64,
}

/// The senders' windows, sorted by sender.
#[derive(Debug, Default)]
pub(super) struct Windows {
    windows: Vec<Window>,
    last_sweep_ms: u64,
}

impl Windows {
    /// Records a datagram; false if it was received before or is too old to tell.
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
