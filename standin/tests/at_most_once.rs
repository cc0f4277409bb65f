//! A non-idempotent request is executed at most once, and the outcome `not_run` means that it was not
//! executed, even if instances are killed or paused, the request is repeated at another instance, or backend
//! servers lose replies.

mod deployment;

use deployment::fixture;
use serde_json::Value;
use standin::searcher;
use std::time;

const DEADLINE_MS: u64 = 1_000;

/// The deployment, with helpers for claims.
struct Fixture(fixture::Fixture);

impl std::ops::Deref for Fixture {
    type Target = fixture::Fixture;

    fn deref(&self) -> &fixture::Fixture {
        &self.0
    }
}

impl Fixture {
    fn key(&self, home: usize, number: u64) -> String {
        let home = &self.instances[home];
        format!("{}:{}:{}-{number:016x}", home.name, home.boot, home.boot / 1_000_000)
    }

    /// Claims `subject` at an instance; `None` if there is no answer within three times the deadline.
    async fn claim(&self, at: usize, key: &str, subject: &str) -> Option<Value> {
        let body = serde_json::json!({
            "key": key, "service": "packets", "operation": "claim", "subject": subject,
            "rank": "urgent", "deadline_ms": DEADLINE_MS,
        });
        let timeout = time::Duration::from_millis(3 * DEADLINE_MS);
        let address = self.instances[at].address;
        let answer =
            deployment::call_with_timeout(address, "/v1/run", Some(&body), timeout).await?;
        Some(answer.body)
    }

    /// How often all backend servers together have executed a claim of `subject`.
    fn run_count(&self, subject: &str) -> usize {
        let mut runs = 0;
        for member in self.fleet.members() {
            runs += member.searcher.journal().iter().filter(|e| e.subject == subject).count();
        }
        runs
    }
}

/// The outcome in an answer to a claim; `none` if there is no answer or it is an error.
fn outcome(answer: Option<&Value>) -> &str {
    answer.and_then(|answer| answer.get("outcome")).and_then(Value::as_str).unwrap_or("none")
}

/// Checks the answers to a claim against the number of its executions.
fn assert_at_most_once(case: &str, answers: &[Option<Value>], runs: usize) {
    assert!(runs <= 1, "{case}: executed {runs} times");
    let outcomes: Vec<&str> = answers.iter().map(|answer| outcome(answer.as_ref())).collect();
    if outcomes.contains(&"ran") {
        assert_eq!(runs, 1, "{case}: an outcome is `ran`: {outcomes:?}");
    }
    if outcomes.contains(&"not_run") {
        assert_eq!(runs, 0, "{case}: an outcome is `not_run`: {outcomes:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_are_executed_at_most_once_under_faults() {
    let mut fixture = Fixture(fixture::Fixture::start(500).await);
    assert!(fixture.platform.calls().total() > 0, "no instance has called the platform");

    let key = fixture.key(0, 1);
    let mut answers = Vec::new();
    for at in [0, 1, 2, 0] {
        answers.push(fixture.claim(at, &key, "plain").await);
    }
    assert!(answers.iter().all(|answer| outcome(answer.as_ref()) == "ran"), "{answers:?}");
    assert_at_most_once("repeated at each instance", &answers, fixture.run_count("plain"));

    // The backend server executes the claim and drops the reply.
    fixture.set_faults(searcher::Faults { drop_replies: 1, ..searcher::Faults::default() });
    let key = fixture.key(0, 2);
    let answers = vec![
        fixture.claim(0, &key, "lost-reply").await,
        fixture.claim(1, &key, "lost-reply").await,
        fixture.claim(0, &key, "lost-reply").await,
    ];
    assert_eq!(outcome(answers[0].as_ref()), "unknown", "{answers:?}");
    assert_at_most_once("reply lost", &answers, fixture.run_count("lost-reply"));
    assert_eq!(
        fixture.run_count("lost-reply"),
        1,
        "the claim whose reply was dropped was not executed"
    );
    fixture.set_faults(searcher::Faults::default());

    // All backend servers refuse the claim.
    fixture.set_faults(searcher::Faults { shed_all: true, ..searcher::Faults::default() });
    let key = fixture.key(1, 3);
    let refused = fixture.claim(1, &key, "shed").await;
    assert_eq!(outcome(refused.as_ref()), "not_run", "{refused:?}");
    fixture.set_faults(searcher::Faults::default());
    let answers =
        vec![refused, fixture.claim(2, &key, "shed").await, fixture.claim(1, &key, "shed").await];
    assert_at_most_once(
        "shed, then repeated when slots are free",
        &answers,
        fixture.run_count("shed"),
    );

    // The caller disconnects while the backend server executes the claim.
    fixture.set_faults(searcher::Faults { delay_reply_ms: 400, ..searcher::Faults::default() });
    let key = fixture.key(0, 4);
    let disconnect_after = time::Duration::from_millis(100);
    let body = serde_json::json!({
        "key": key, "service": "packets", "operation": "claim", "subject": "hung-up",
        "rank": "urgent", "deadline_ms": DEADLINE_MS,
    });
    let address = fixture.instances[0].address;
    let answer =
        deployment::call_with_timeout(address, "/v1/run", Some(&body), disconnect_after).await;
    assert!(answer.is_none(), "the answer arrived before the caller disconnected");
    let answer = fixture.claim(1, &key, "hung-up").await;
    assert_eq!(outcome(answer.as_ref()), "ran", "{answer:?}");
    assert_at_most_once("caller disconnected", &[answer], fixture.run_count("hung-up"));
    fixture.set_faults(searcher::Faults::default());

    // The home is paused and does not answer; the caller repeats the claim elsewhere, then the home resumes.
    let key = fixture.key(2, 5);
    fixture.instances[2].process.signal(libc::SIGSTOP);
    let first = fixture.claim(2, &key, "frozen").await;
    let second = fixture.claim(0, &key, "frozen").await;
    assert_ne!(
        outcome(second.as_ref()),
        "not_run",
        "`not_run` although the paused home may have executed the claim: {second:?}"
    );
    fixture.instances[2].process.signal(libc::SIGCONT);
    // All links of the home time out during the pause. A claim that it sends as it resumes may lose its reply
    // with the link; the home's answer is then `unknown` with the cause `no_searcher`, and stays so.
    let mut answers = vec![first, second];
    let mut settled = Vec::new();
    for at in [0, 1, 2] {
        let answer = deployment::wait_for("the settled answer of the resumed home", async || {
            let answer = fixture.claim(at, &key, "frozen").await?;
            let is_settled = match outcome(Some(&answer)) {
                "unknown" => answer["cause"] == "no_searcher",
                outcome => outcome != "none",
            };
            is_settled.then_some(answer)
        })
        .await;
        settled.push((outcome(Some(&answer)).to_owned(), answer["cause"].clone()));
        answers.push(Some(answer));
    }
    assert!(settled.iter().all(|answer| *answer == settled[0]), "the answers differ: {settled:?}");
    assert_at_most_once("home paused and resumed", &answers, fixture.run_count("frozen"));

    // The home is killed after the execution; no other instance executes the claim again.
    let key = fixture.key(1, 6);
    let ran = fixture.claim(1, &key, "killed").await;
    assert_eq!(outcome(ran.as_ref()), "ran", "{ran:?}");
    fixture.instances[1].process.signal(libc::SIGKILL);
    fixture.0.instances[1].process.wait();
    let after = fixture.claim(0, &key, "killed").await;
    assert_eq!(outcome(after.as_ref()), "unknown", "{after:?}");
    assert_at_most_once("home killed", &[ran, after], fixture.run_count("killed"));
}
