//! A non-idempotent request runs at most once, and "not run" did not run: real instances, killed, frozen
//! and asked again elsewhere, over backend servers that lose replies.

mod deployment;

use deployment::world;
use serde_json::Value;
use standin::searcher;
use std::time;

const DEADLINE_MS: u64 = 1_000;

/// The deployment, with what is asked of it here.
struct World(world::World);

impl std::ops::Deref for World {
    type Target = world::World;

    fn deref(&self) -> &world::World {
        &self.0
    }
}

impl World {
    fn key(&self, home: usize, number: u64) -> String {
        let home = &self.instances[home];
        format!("{}:{}:{}-{number:016x}", home.name, home.boot, home.boot / 1_000_000)
    }

    /// Claims `subject` at an instance. Gives up after a while, as a caller does.
    async fn claim(&self, at: usize, key: &str, subject: &str) -> Option<Value> {
        let body = serde_json::json!({
            "key": key, "service": "packets", "operation": "claim", "subject": subject,
            "rank": "urgent", "deadline_ms": DEADLINE_MS,
        });
        let patience = time::Duration::from_millis(3 * DEADLINE_MS);
        let address = self.instances[at].address;
        let answer = deployment::call_with(address, "/v1/run", Some(&body), patience).await?;
        Some(answer.body)
    }

    /// How often `subject` was claimed at all backend servers together.
    fn runs(&self, subject: &str) -> usize {
        let mut runs = 0;
        for member in self.fleet.members() {
            runs += member.searcher.journal().iter().filter(|e| e.subject == subject).count();
        }
        runs
    }
}

fn outcome(answer: Option<&Value>) -> &str {
    answer.and_then(|answer| answer.get("outcome")).and_then(Value::as_str).unwrap_or("none")
}

/// Checks a claim's answers against what has run.
fn check(case: &str, answers: &[Option<Value>], runs: usize) {
    assert!(runs <= 1, "{case}: ran {runs} times");
    let said: Vec<&str> = answers.iter().map(|answer| outcome(answer.as_ref())).collect();
    if said.contains(&"ran") {
        assert_eq!(runs, 1, "{case}: said to have run: {said:?}");
    }
    if said.contains(&"not_run") {
        assert_eq!(runs, 0, "{case}: said not to have run: {said:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_under_faults() {
    let mut world = World(world::World::start(500).await);
    assert!(world.platform.calls().total() > 0, "instances read the platform's list");

    let key = world.key(0, 1);
    let mut answers = Vec::new();
    for at in [0, 1, 2, 0] {
        answers.push(world.claim(at, &key, "plain").await);
    }
    assert!(answers.iter().all(|answer| outcome(answer.as_ref()) == "ran"), "{answers:?}");
    check("asked at each instance", &answers, world.runs("plain"));

    // The backend server runs it and drops the reply.
    world.set_faults(searcher::Faults { drop_replies: 1, ..searcher::Faults::default() });
    let key = world.key(0, 2);
    let answers = vec![
        world.claim(0, &key, "lost-reply").await,
        world.claim(1, &key, "lost-reply").await,
        world.claim(0, &key, "lost-reply").await,
    ];
    assert_eq!(outcome(answers[0].as_ref()), "unknown", "{answers:?}");
    check("reply lost", &answers, world.runs("lost-reply"));
    assert_eq!(world.runs("lost-reply"), 1, "the fault was met");
    world.set_faults(searcher::Faults::default());

    // All backend servers refuse.
    world.set_faults(searcher::Faults { shed_all: true, ..searcher::Faults::default() });
    let key = world.key(1, 3);
    let refused = world.claim(1, &key, "shed").await;
    assert_eq!(outcome(refused.as_ref()), "not_run", "{refused:?}");
    world.set_faults(searcher::Faults::default());
    let answers =
        vec![refused, world.claim(2, &key, "shed").await, world.claim(1, &key, "shed").await];
    check("shed, and asked again when there is room", &answers, world.runs("shed"));

    // The caller hangs up while the backend server works.
    world.set_faults(searcher::Faults { delay_reply_ms: 400, ..searcher::Faults::default() });
    let key = world.key(0, 4);
    let hung_up = time::Duration::from_millis(100);
    let body = serde_json::json!({
        "key": key, "service": "packets", "operation": "claim", "subject": "hung-up",
        "rank": "urgent", "deadline_ms": DEADLINE_MS,
    });
    let address = world.instances[0].address;
    let cut = deployment::call_with(address, "/v1/run", Some(&body), hung_up).await;
    assert!(cut.is_none(), "the caller hung up");
    let answer = world.claim(1, &key, "hung-up").await;
    assert_eq!(outcome(answer.as_ref()), "ran", "{answer:?}");
    check("caller hung up", &[answer], world.runs("hung-up"));
    world.set_faults(searcher::Faults::default());

    // The home is frozen, asked in vain, and wakes after the caller went elsewhere.
    let key = world.key(2, 5);
    world.instances[2].process.signal(libc::SIGSTOP);
    let first = world.claim(2, &key, "frozen").await;
    let second = world.claim(0, &key, "frozen").await;
    assert_ne!(outcome(second.as_ref()), "not_run", "the home may have run it: {second:?}");
    world.instances[2].process.signal(libc::SIGCONT);
    let third = deployment::wait_for("an outcome of the woken home", async || {
        let answer = world.claim(0, &key, "frozen").await?;
        (outcome(Some(&answer)) != "unknown").then_some(answer)
    })
    .await;
    check("home frozen and woken", &[first, second, Some(third)], world.runs("frozen"));

    // The home is killed after it ran; no other instance runs it again.
    let key = world.key(1, 6);
    let ran = world.claim(1, &key, "killed").await;
    assert_eq!(outcome(ran.as_ref()), "ran", "{ran:?}");
    world.instances[1].process.signal(libc::SIGKILL);
    world.0.instances[1].process.wait();
    let after = world.claim(0, &key, "killed").await;
    assert_eq!(outcome(after.as_ref()), "unknown", "{after:?}");
    check("home killed", &[ran, after], world.runs("killed"));
}
