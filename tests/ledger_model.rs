//! Random interleavings of requests, rejections, lost attempts, restarts, paused processes and clock
//! changes over several instances. No request may be sent twice, and no answers may contradict each
//! other.

use compact_str::CompactString;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::str::FromStr as _;
use tarragondoor::caller_api;
use tarragondoor::ids;
use tarragondoor::key;
use tarragondoor::ledger;
use tarragondoor::ledger::{AttemptOutcome, Decision, Next, Permit, RequestStatus};
use tarragondoor::rank;

const START_MS: u64 = 1_700_000_000_000;
const CASES: u64 = 20_000;
const HOMES: [&str; 2] = ["a", "b"];
const RECORDS_MAX: usize = 6;

/// A step. The numbers select among the existing keys, processes and attempts, modulo their count.
#[derive(Clone, Copy, Debug)]
enum Step {
    Issue(u8),
    Request {
        key: u8,
        process: u8,
        body: u8,
        timeout_ms: u16,
    },
    Reject {
        key: u8,
        process: u8,
    },
    GiveUp {
        key: u8,
        process: u8,
    },
    Send {
        key: u8,
        process: u8,
    },
    End {
        attempt: u8,
        outcome: u8,
    },
    /// Starts a new process with the same name. The old one is paused and may continue at any step.
    Restart(u8),
    Wait {
        seconds: u16,
    },
    ClockBack {
        seconds: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (key, process) = (u8::arbitrary(g) % 4, u8::arbitrary(g));
        match u8::arbitrary(g) % 16 {
            0 => Step::Issue(u8::arbitrary(g)),
            1..=4 => {
                let (body, timeout_ms) = (u8::arbitrary(g) / 200, u16::arbitrary(g));
                Step::Request { key, process, body, timeout_ms }
            }
            5 => Step::Reject { key, process },
            6 => Step::GiveUp { key, process },
            7..=9 => Step::Send { key, process },
            10..=12 => Step::End { attempt: u8::arbitrary(g), outcome: u8::arbitrary(g) },
            13 => Step::Restart(u8::arbitrary(g)),
            14 => Step::Wait { seconds: u16::arbitrary(g) % 700 },
            _ => Step::ClockBack { seconds: u8::arbitrary(g) },
        }
    }
}

/// What has happened to a key, independent of the records of the ledgers.
struct KeyHistory {
    key: key::Key,
    /// Attempts that were sent and not refused.
    may_have_run: u32,
    answered_ran: bool,
    answered_not_run: bool,
}

struct Attempt {
    key: usize,
    process: usize,
    number: ledger::AttemptNumber,
    refused: bool,
}

struct Started {
    key: usize,
    process: usize,
    deadline_ms: u64,
}

struct Model {
    now_ms: u64,
    processes: Vec<(usize, ledger::Ledger)>,
    histories: Vec<KeyHistory>,
    attempts: Vec<Attempt>,
    started: Vec<Started>,
}

impl Model {
    fn new() -> Self {
        let (processes, histories) = (Vec::new(), Vec::new());
        let (attempts, started) = (Vec::new(), Vec::new());
        let mut model = Self { now_ms: START_MS, processes, histories, attempts, started };
        for home in 0..HOMES.len() {
            model.restart(home);
        }
        model.issue(0);
        model.issue(1);
        model
    }

    fn restart(&mut self, home: usize) {
        let boot = ids::BootId(self.processes.len() as u64);
        let name = ids::InstanceName::from_str(HOMES[home]).unwrap();
        self.processes.push((home, ledger::Ledger::with_records_max(name, boot, RECORDS_MAX)));
    }

    fn issue(&mut self, process: u8) {
        let process = usize::from(process) % self.processes.len();
        let name = ids::InstanceName::from_str(HOMES[self.processes[process].0]).unwrap();
        let (boot, number) = (ids::BootId(process as u64), self.histories.len() as u64);
        let key = key::Key::new(name, boot, self.now_ms / 1_000, number);
        self.histories.push(KeyHistory {
            key,
            may_have_run: 0,
            answered_ran: false,
            answered_not_run: false,
        });
    }

    /// Selects one of the newest keys, so that several steps affect the same key, and a process.
    fn choose(&self, key: u8, process: u8) -> (usize, usize) {
        let key = self.histories.len() - 1 - usize::from(key) % self.histories.len();
        (key, usize::from(process) % self.processes.len())
    }

    /// Records an answer and checks that it contradicts neither earlier answers nor what has happened.
    fn check_status(&mut self, key: usize, status: &RequestStatus) -> Result<(), String> {
        let history = &mut self.histories[key];
        match status {
            RequestStatus::Ran(_) => history.answered_ran = true,
            RequestStatus::NotRun(_) => history.answered_not_run = true,
            RequestStatus::Unknown(_) => {}
        }
        if history.answered_ran && history.answered_not_run {
            return Err(format!("{}: answered both 'ran' and 'not run'", history.key));
        }
        if history.answered_not_run && history.may_have_run > 0 {
            return Err(format!(
                "{}: answered 'not run' for a request that may have run",
                history.key
            ));
        }
        Ok(())
    }

    fn request(
        &mut self,
        key: usize,
        process: usize,
        request: ledger::Request,
    ) -> Result<(), String> {
        let ledger = &mut self.processes[process].1;
        match ledger.request(self.now_ms, &self.histories[key].key, request) {
            Decision::Answer(status) => self.check_status(key, &status),
            Decision::Start if self.started.iter().any(|started| started.key == key) => {
                Err(format!("{}: started twice", self.histories[key].key))
            }
            Decision::Start => {
                let deadline_ms = request.deadline_ms;
                self.started.push(Started { key, process, deadline_ms });
                Ok(())
            }
            Decision::Attach | Decision::OtherBody => Ok(()),
            Decision::Forward { to, .. } if to == *self.histories[key].key.home() => Ok(()),
            Decision::Forward { to, .. } => Err(format!("forwarded to {to}, not to the home")),
        }
    }

    fn send(&mut self, key: usize, process: usize) -> Result<(), String> {
        let now_ms = self.now_ms;
        let number = match self.processes[process].1.permit_send(now_ms, &self.histories[key].key) {
            Permit::Denied(status) => return self.check_status(key, &status),
            Permit::Send(number) => number,
        };
        let mut started = self.started.iter();
        let started = started.find(|started| (started.key, started.process) == (key, process));
        let history = &mut self.histories[key];
        history.may_have_run += 1;
        if history.may_have_run > 1 {
            return Err(format!("{}: sent twice", history.key));
        }
        if history.answered_not_run {
            return Err(format!("{}: sent after 'not run' was answered", history.key));
        }
        if started.is_none_or(|started| now_ms >= started.deadline_ms) {
            return Err(format!("{}: sent past its deadline", history.key));
        }
        self.attempts.push(Attempt { key, process, number, refused: false });
        Ok(())
    }

    fn end(&mut self, attempt: u8, outcome: u8) -> Result<(), String> {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let index = usize::from(attempt) % self.attempts.len();
        let attempt = &mut self.attempts[index];
        let (key, process, number) = (attempt.key, attempt.process, attempt.number);
        let outcome = match outcome % 3 {
            0 if !attempt.refused => AttemptOutcome::Ran(CompactString::from("ok")),
            1 if !attempt.refused => {
                attempt.refused = true;
                self.histories[key].may_have_run -= 1;
                AttemptOutcome::Refused
            }
            _ => AttemptOutcome::Lost,
        };
        if matches!(outcome, AttemptOutcome::Ran(_)) {
            self.attempts.remove(index);
        }
        let ledger = &mut self.processes[process].1;
        match ledger.attempt_ended(self.now_ms, &self.histories[key].key, number, outcome) {
            Next::Settled(status) => self.check_status(key, &status),
            Next::TryAnother | Next::Ignored => Ok(()),
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Issue(process) => self.issue(process),
            Step::Restart(home) => self.restart(usize::from(home) % HOMES.len()),
            Step::Wait { seconds } => self.now_ms += u64::from(seconds) * 1_000,
            Step::ClockBack { seconds } => self.now_ms -= u64::from(seconds) * 1_000,
            Step::Request { key, process, body, timeout_ms } => {
                let (key, process) = self.choose(key, process);
                let deadline_ms = self.now_ms + u64::from(timeout_ms);
                let body = key::BodyHash(u64::from(body));
                let request = ledger::Request { body, rank: rank::Rank::Urgent, deadline_ms };
                self.request(key, process, request)?;
            }
            Step::Reject { key, process } => {
                let (key, process) = self.choose(key, process);
                let cause = caller_api::ErrorCode::NotReady;
                let ledger = &mut self.processes[process].1;
                let key_value = &self.histories[key].key;
                let status = ledger.reject(self.now_ms, key_value, rank::Rank::Urgent, cause);
                if let Some(status) = status {
                    self.check_status(key, &status)?;
                }
            }
            Step::GiveUp { key, process } => {
                let (key, process) = self.choose(key, process);
                let cause = caller_api::ErrorCode::NoSearcher;
                let ledger = &mut self.processes[process].1;
                let status = ledger.give_up(self.now_ms, &self.histories[key].key, cause);
                self.check_status(key, &status)?;
            }
            Step::Send { key, process } => {
                let (key, process) = self.choose(key, process);
                self.send(key, process)?;
            }
            Step::End { attempt, outcome } => self.end(attempt, outcome)?,
        }
        for (_, ledger) in &self.processes {
            if ledger.record_count() > RECORDS_MAX {
                return Err("more records than allowed".to_owned());
            }
        }
        Ok(())
    }
}

fn check_steps(steps: Vec<Step>) -> quickcheck::TestResult {
    let mut model = Model::new();
    for step in steps {
        if let Err(violation) = model.step(step) {
            return quickcheck::TestResult::error(violation);
        }
    }
    quickcheck::TestResult::passed()
}

#[test]
fn at_most_one_send_and_no_contradiction() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 1)).tests(CASES);
    check.quickcheck(check_steps as fn(Vec<Step>) -> quickcheck::TestResult);
}
