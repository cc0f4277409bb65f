//! What subscribers receive from an instance, over real connections.

mod forward_support;

use forward_support::configuration;
use forward_support::member;
use forward_support::route;
use forward_support::subscriber::subscribe;
use std::net;
use std::sync;
use std::time;
use tarragondoor::discovery::feed;
use tarragondoor::discovery::publisher;
use tarragondoor::discovery::view;
use tarragondoor::forward::metrics;
use tarragondoor::frame;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Starts a source in the region `north`. Returns its address and its view.
async fn start_source() -> (net::SocketAddr, sync::Arc<view::View>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let view = sync::Arc::new(view::View::new(member("source", "north", 1)));
    view.offer_config(configuration(1, Vec::new()), view::Origin::Store, 0);
    view.mark_config_verified(0);
    view.apply_searchers(Vec::new(), 0);
    view.mark_searchers_verified(0);
    let metrics = sync::Arc::new(metrics::Metrics::new());
    tokio::spawn(publisher::run(listener, view.clone(), metrics, None));
    (address, view)
}

/// Waits for a member list without `name`, or a change of the list that removes it. Returns whether it arrived before
/// `timeout`.
async fn is_removed(
    updates: &mut mpsc::UnboundedReceiver<feed::Update>,
    name: &str,
    timeout: time::Duration,
) -> bool {
    let removed = async {
        while let Some(update) = updates.recv().await {
            let is_removed = match update {
                feed::Update::Members(members) => {
                    members.iter().all(|member| member.name.as_str() != name)
                }
                feed::Update::MembersDelta(delta) => {
                    delta.gone.iter().any(|gone| gone.as_str() == name)
                }
                _ => continue,
            };
            if is_removed {
                return true;
            }
        }
        false
    };
    tokio::time::timeout(timeout, removed).await.unwrap_or(false)
}

/// Guards against incident inc1: subscribers were sent no member list while configurations came in quick
/// succession, and the directory went on listing an instance that was off.
#[tokio::test]
async fn a_member_list_is_sent_while_configurations_come_in_quick_succession() {
    let (source, view) = start_source().await;
    let mut updates = subscribe(source, member("follower", "north", 2)).await;
    view.change_members(|members| members.upsert_subscriber(member("lost", "north", 3)));
    let storm_view = view.clone();
    let storm = tokio::spawn(async move {
        for version in 2..100 {
            let routes = vec![route("r", "h.example", &format!("/v{version}/"))];
            storm_view.offer_config(configuration(version, routes), view::Origin::Store, 0);
            tokio::time::sleep(time::Duration::from_millis(40)).await;
        }
    });
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    while updates.try_recv().is_ok() {}
    view.change_members(|members| members.remove_subscriber(&"lost".parse().unwrap(), 1));
    let is_removed = is_removed(&mut updates, "lost", time::Duration::from_secs(1)).await;
    assert!(!storm.is_finished(), "the configurations ended too early to show anything");
    assert!(is_removed, "no member list without the lost instance within 1 s");
}

/// A paced frame may take longer than the time after which a source counts as silent.
#[tokio::test]
async fn a_frame_that_arrives_slowly_is_read_and_one_that_stops_is_not() {
    let mut buffer = Vec::new();
    let text = "x".repeat(3 * frame::PART_BYTES);
    feed::source_codec().encode(&text, &mut buffer).unwrap();
    let timeout = time::Duration::from_millis(400);
    let (mut sender, mut receiver) = tokio::io::duplex(buffer.len());
    let (slow, stopped) = (buffer.clone(), buffer);
    let sending = tokio::spawn(async move {
        for part in slow.chunks(frame::PART_BYTES) {
            tokio::time::sleep(timeout / 2).await;
            frame::write(&mut sender, part).await.unwrap();
        }
        frame::write(&mut sender, &stopped[..frame::PART_BYTES]).await.unwrap();
        sender
    });
    let payload = frame::read_parts(&mut receiver, feed::FRAME_MAX_BYTES, timeout).await.unwrap();
    assert_eq!(feed::source_codec().decode::<String>(&payload).unwrap(), text);
    let _open = sending.await.unwrap();
    let stopped = frame::read_parts(&mut receiver, feed::FRAME_MAX_BYTES, timeout).await;
    assert!(
        matches!(&stopped, Err(frame::FrameError::Stream(error))
            if error.kind() == std::io::ErrorKind::TimedOut),
        "{stopped:?}"
    );
}
