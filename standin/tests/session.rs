//! The output of the command-line client in a whole session, compared with a snapshot. The platform, the
//! backend servers and three instances run as separate processes.

mod deployment;

use std::fmt::Write as _;
use std::net;
use std::path;

/// The output of the session, with the text that differs from run to run replaced.
struct Transcript {
    text: String,
    /// Pairs of a text and its replacement, applied in order.
    replacements: Vec<(String, String)>,
}

impl Transcript {
    fn add_heading(&mut self, title: &str) {
        writeln!(self.text, "## {title}").expect("writing to a string succeeds");
    }

    fn run(&mut self, server: net::SocketAddr, arguments: &[&str]) -> String {
        let output = deployment::run_client(server, arguments);
        let mut shown = format!("$ tarragondoor {}\n{}", arguments.join(" "), output.text);
        for (from, to) in &self.replacements {
            shown = shown.replace(from, to);
        }
        let shown = mask_query_ids(&shown);
        writeln!(self.text, "{}\nexit {}\n", shown.trim_end(), output.code)
            .expect("writing to a string succeeds");
        output.text
    }
}

/// Replaces the query ids, which are random.
fn mask_query_ids(text: &str) -> String {
    let mut shown = String::new();
    for line in text.lines() {
        match line.split_once(", query ") {
            Some((before, _)) => writeln!(shown, "{before}, query ID"),
            None => writeln!(shown, "{line}"),
        }
        .expect("writing to a string succeeds");
    }
    shown
}

/// The plan's id from the last line of the output of `declare`.
fn plan_id(text: &str) -> String {
    let line = text.lines().find_map(|line| line.split_once("tarragondoor confirm "));
    line.expect("the output has the plan's id").1.trim().to_owned()
}

fn data_path(name: &str) -> path::PathBuf {
    path::Path::new("tests/data").join(name)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_output_matches_the_snapshot() {
    let (_platform, platform) = deployment::start_platform();
    let _searchers = deployment::start_searchers(&data_path("fleet.jsonc"), platform);
    let first = deployment::start_instance(1, platform, &[], 500);
    let second = deployment::start_instance(2, platform, &[&first], 500);
    let mut third = deployment::start_instance(3, platform, &[&first], 500);
    for instance in [&first, &second, &third] {
        deployment::wait_members(instance.address, 3).await;
    }
    let mut replacements = Vec::new();
    for (instance, name) in [(&first, "FIRST"), (&second, "SECOND"), (&third, "THIRD")] {
        // Tables pad the address to 22 columns; its replacement is padded too.
        replacements.push((format!("{:<22}", instance.address), format!("{name:<22}")));
        replacements.push((instance.address.to_string(), name.to_owned()));
        replacements.push((instance.boot.to_string(), format!("{name}-BOOT")));
    }
    let mut session = Transcript { text: String::new(), replacements };

    session.add_heading("nothing is declared yet");
    session.run(first.address, &["search", "--service", "beans", "--query", "late runner"]);
    session.run(first.address, &["status"]);

    session.add_heading("the operator declares, looks at the plan and confirms it");
    session.run(first.address, &["check", "tests/data/settings.jsonc"]);
    let declared = session.run(first.address, &["declare", "tests/data/settings.jsonc"]);
    let plan = plan_id(&declared);
    session.run(second.address, &["confirm", &plan]);
    // The second instance knows that the revision is in force on every instance. The third learns the revision of
    // each other instance from that instance's gossip, which may come later.
    deployment::wait_for("no instance behind in the status of the third", async || {
        let status = deployment::run_client(third.address, &["status"]).text;
        let current = status.lines().filter(|line| line.contains(" alive ")).count();
        (current == 3 && !status.contains("behind")).then_some(())
    })
    .await;
    session.run(third.address, &["status"]);

    session.add_heading("callers search and claim");
    for instance in [&first, &second, &third] {
        deployment::wait_complete_answer(instance.address, "beans").await;
        deployment::wait_complete_answer(instance.address, "packets").await;
    }
    let search = ["search", "--service", "packets", "--query", "late runner", "--limit", "3"];
    session.run(first.address, &search);
    session.run(third.address, &search);
    let key = format!("entry-2:{}:{}-0123456789abcdef", second.boot, second.boot / 1_000_000);
    session.replacements.insert(0, (key.clone(), "KEY".to_owned()));
    let claim = [
        "run",
        "--service",
        "packets",
        "--operation",
        "claim",
        "--subject",
        "packet-17",
        "--key",
        &key,
    ];
    session.run(second.address, &claim);
    session.add_heading("the same claim again, at another instance");
    session.run(third.address, &claim);

    session.add_heading("two operators race: both plans have the same base");
    let first_plan =
        plan_id(&session.run(first.address, &["declare", "tests/data/settings-changed.jsonc"]));
    let second_plan =
        plan_id(&session.run(second.address, &["declare", "tests/data/settings-raced.jsonc"]));
    session.run(first.address, &["confirm", &first_plan]);
    session.run(second.address, &["confirm", &second_plan]);

    session.add_heading("the third instance is told to stop");
    third.process.signal(libc::SIGTERM);
    assert!(third.process.wait(), "the third instance exited with an error");
    deployment::wait_members(first.address, 2).await;
    deployment::wait_for("state `left` of the third instance", async || {
        let status = deployment::run_client(first.address, &["status"]).text;
        status.lines().any(|line| line.contains("entry-3") && line.contains("left")).then_some(())
    })
    .await;
    session.run(first.address, &search);
    session.run(first.address, &["status"]);

    session.add_heading(
        "a key whose home was killed: the outcome is unknown, and it is not run again",
    );
    drop(second);
    session.run(first.address, &claim);
    insta::assert_snapshot!(session.text);
}
