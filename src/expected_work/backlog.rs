//! The outstanding work of one searcher and the current speed of its machine, as estimated by one instance.
//!
//! What this instance has sent is known. Other instances are expected to have sent as much, since they choose by the same
//! rule, unless the searcher states its load. Each answer is compared with what was expected of it, and the difference is
//! attributed to the speed of the searcher's machine.

use crate::expected_work::load;

/// The weight of a new sample in the moving average of the deviation of the speed. Answers vary by a third without any
/// change of the speed, and a larger weight made choices follow that.
const GAIN: f64 = 0.1;
/// The weight of a new sample in the searcher's usual slowness, which differs by hardware and rarely changes.
const USUAL_GAIN: f64 = 0.03;
/// How fast the usual slowness returns to 1 with each sample. Without it, the usual slowness of all searchers could
/// drift in one direction and the expected work of all routes in the other.
const USUAL_PULL: f64 = 0.001;
/// The range of the usual slowness.
const USUAL_RANGE: (f64, f64) = (0.4, 3.0);
/// The deviation assumed for a searcher that has just started, which may be cold.
const INITIAL_DEVIATION: f64 = 1.3;
/// The upper bound of the deviation.
const DEVIATION_MAX: f64 = 30.0;
/// The half-life of the deviation. Machines become slow for 0.6 s at a time.
const DEVIATION_HALF_LIFE_US: f64 = 600_000.0;
/// The share of a stated deviation that is used. All instances are told it at about the same time, and would leave the
/// searcher at once if they used all of it, and load the others.
const TOLD_DEVIATION_SHARE: f64 = 0.5;
/// The half-life of the number of other instances' requests that a searcher has stated.
const TOLD_OTHERS_HALF_LIFE_US: f64 = 100_000.0;
/// The weight of the stated number of requests when it is new. It tells what was there before other instances reacted.
const TOLD_OTHERS_WEIGHT: f64 = 0.5;
/// The least share of a send's work that is expected to remain while it is unanswered.
const REMAINING_MIN_SHARE: f64 = 0.25;
/// A send is overdue once it takes this many times the round trip and the expected processing time, plus
/// [`OVERDUE_SLACK_US`].
const OVERDUE_FACTOR: f64 = 2.0;
/// Added to the age at which a send is overdue, see [`OVERDUE_FACTOR`].
const OVERDUE_SLACK_US: f64 = 8_000.0;
/// The range of what a stall adds: searchers pause for 200 to 300 ms.
const STALL_RANGE_US: (f64, f64) = (200_000.0, 600_000.0);

/// The properties of a searcher, and of its use, that are known besides the answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// The network round trip.
    pub round_trip_us: f64,
    /// How many requests it processes concurrently, at least 1.
    pub slots: f64,
    /// How many instances are assumed to send to it as much as this one, this one included.
    pub sharing_count: f64,
}

/// The expected course of a send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The waiting time at the searcher.
    pub waiting_us: f64,
    /// The processing time, at the current speed of the searcher's machine.
    pub processing_us: f64,
    /// What is added because the searcher seems to have stalled.
    pub stall_us: f64,
    /// The time to the end of the answer: the sum of the above and the round trip.
    pub total_us: f64,
}

/// A send in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    id: u64,
    sent_us: u64,
    /// The expected work at the usual speed.
    work_us: f64,
    /// The estimate at the time of the send.
    estimate: Estimate,
}

/// The work of an answered send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkSample {
    /// The work that was expected.
    pub expected_us: f64,
    /// The time that it took, less the round trip and the expected waiting, scaled to the usual speed.
    pub actual_us: f64,
}

/// The outstanding work of one searcher and the speed of its machine.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// How long work usually takes there, relative to the expected work.
    usual_slowness: f64,
    /// How long work took lately, relative to the usual time.
    deviation: f64,
    deviation_updated_us: u64,
    /// The number of other instances' requests there that the searcher stated last, and when; `None` if it never did.
    told_others: Option<(f64, u64)>,
    last_answer_us: u64,
    in_flight: Vec<InFlight>,
}

impl Backlog {
    /// Creates the backlog of a searcher that has just become known.
    pub fn new(now_us: u64) -> Self {
        Self {
            usual_slowness: 1.0,
            deviation: INITIAL_DEVIATION,
            deviation_updated_us: now_us,
            told_others: None,
            last_answer_us: now_us,
            in_flight: Vec::new(),
        }
    }

    /// Estimates the course of a send of `work_us`, the expected work at the usual speed.
    pub fn estimate(&self, now_us: u64, work_us: f64, profile: Profile) -> Estimate {
        let slowness = self.slowness(now_us);
        let others = self.others(now_us, profile);
        let mut remaining_us = others * work_us * slowness / 2.0;
        let mut stall_us: f64 = 0.0;
        for send in &self.in_flight {
            let age_us = now_us.saturating_sub(send.sent_us) as f64;
            remaining_us += remaining_work_us(send, age_us, profile.round_trip_us, slowness);
            // The searcher has not stalled if it has answered anything since.
            let is_silent = self.last_answer_us <= send.sent_us + send.estimate.total_us as u64;
            let overdue_us = (profile.round_trip_us + send.estimate.processing_us) * OVERDUE_FACTOR
                + OVERDUE_SLACK_US;
            if is_silent && age_us > overdue_us {
                stall_us = stall_us.max(age_us.clamp(STALL_RANGE_US.0, STALL_RANGE_US.1));
            }
        }
        let count = self.in_flight.len() as f64 + others;
        let waiting_us = match count > 0.0 {
            true => remaining_us / count * waiting_share(count, profile.slots),
            false => 0.0,
        };
        let processing_us = work_us * slowness;
        let total_us = profile.round_trip_us + waiting_us + processing_us + stall_us;
        Estimate { waiting_us, processing_us, stall_us, total_us }
    }

    /// Records the start of a send of `work_us`, for which `estimate` was made.
    pub fn start(&mut self, now_us: u64, id: u64, work_us: f64, estimate: Estimate) {
        self.in_flight.push(InFlight { id, sent_us: now_us, work_us, estimate });
    }

    /// Records the end of a send. `took_us` is the time from its start to the end of the answer, or for which there was
    /// no answer; `None` if that says nothing of the searcher. Returns the work if `is_answered`.
    pub fn finish(
        &mut self,
        now_us: u64,
        id: u64,
        took_us: Option<u64>,
        is_answered: bool,
        profile: Profile,
    ) -> Option<WorkSample> {
        let index = self.in_flight.iter().position(|send| send.id == id)?;
        let send = self.in_flight.swap_remove(index);
        if is_answered {
            self.last_answer_us = now_us;
        }
        let at_searcher_us = (took_us? as f64 - profile.round_trip_us).max(0.0);
        let Estimate { waiting_us, processing_us, .. } = send.estimate;
        let excess_us = at_searcher_us - waiting_us - processing_us;
        self.observe_speed(now_us, &send, excess_us);
        if !is_answered {
            return None;
        }
        let scale = processing_us / send.work_us.max(1.0);
        let processed_us = (at_searcher_us - waiting_us).max(at_searcher_us / 10.0);
        Some(WorkSample { expected_us: send.work_us, actual_us: processed_us / scale.max(0.01) })
    }

    /// Records the load that the searcher stated in an answer that has just arrived and whose send has been finished.
    pub fn observe_load(&mut self, now_us: u64, load: load::Load) {
        let present = f64::from(load.running) + f64::from(load.waiting);
        let others = (present - self.in_flight.len() as f64).max(0.0);
        self.told_others = Some((others, now_us));
        if let Some(percent) = load.percent {
            let told = 1.0 + (f64::from(percent) / 100.0 - 1.0) * TOLD_DEVIATION_SHARE;
            self.deviation = told.min(DEVIATION_MAX);
            self.deviation_updated_us = now_us;
        }
    }

    /// Returns how long work takes now relative to the expected work.
    pub fn slowness(&self, now_us: u64) -> f64 {
        self.usual_slowness * self.deviation(now_us)
    }

    /// Returns the outstanding work of this instance's sends.
    pub fn outstanding_us(&self, now_us: u64) -> f64 {
        let slowness = self.slowness(now_us);
        let remaining_us = |send: &InFlight| {
            let age_us = now_us.saturating_sub(send.sent_us) as f64;
            remaining_work_us(send, age_us, 0.0, slowness)
        };
        self.in_flight.iter().map(remaining_us).sum()
    }

    fn observe_speed(&mut self, now_us: u64, send: &InFlight, excess_us: f64) {
        let deviation = self.deviation(now_us);
        let usual_us = (send.work_us * self.usual_slowness).max(1.0);
        let ratio = (send.estimate.processing_us + excess_us) / usual_us;
        // Bounds what a single expensive request can do; a machine that stays slow raises the bound.
        let sample = ratio.clamp(0.2, deviation * 2.0 + 1.5).min(DEVIATION_MAX);
        self.deviation = deviation + (sample - deviation) * GAIN;
        self.deviation_updated_us = now_us;
        let usual_sample = ratio.clamp(0.3, 2.0) - 1.0;
        let usual = self.usual_slowness * (1.0 + usual_sample * USUAL_GAIN);
        let pulled = usual + (1.0 - usual) * USUAL_PULL;
        self.usual_slowness = pulled.clamp(USUAL_RANGE.0, USUAL_RANGE.1);
    }

    fn deviation(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.deviation_updated_us) as f64;
        1.0 + (self.deviation - 1.0) * (-age_us / DEVIATION_HALF_LIFE_US).exp2()
    }

    /// Returns the number of requests that other instances are expected to have there.
    fn others(&self, now_us: u64, profile: Profile) -> f64 {
        let mirrored = self.in_flight.len() as f64 * (profile.sharing_count - 1.0).max(0.0);
        let Some((told, told_at_us)) = self.told_others else {
            return mirrored;
        };
        let age_us = now_us.saturating_sub(told_at_us) as f64;
        let weight = TOLD_OTHERS_WEIGHT * (-age_us / TOLD_OTHERS_HALF_LIFE_US).exp2();
        mirrored + (told - mirrored) * weight
    }
}

/// Returns the processing time of a send that is expected to remain, given that it is unanswered.
fn remaining_work_us(send: &InFlight, age_us: f64, round_trip_us: f64, slowness: f64) -> f64 {
    let total_us = send.work_us * slowness;
    let done_us = (age_us - round_trip_us / 2.0 - send.estimate.waiting_us).max(0.0);
    (total_us - done_us).max(total_us * REMAINING_MIN_SHARE)
}

/// Returns the expected waiting for a slot when `count` requests are there, as a share of the mean remaining time of a
/// request. The number is uncertain, so some waiting is expected also if it is below the number of slots.
fn waiting_share(count: f64, slots: f64) -> f64 {
    if count <= slots {
        let used = count / slots;
        return used * used / slots;
    }
    (count - slots + 1.0) / slots
}
