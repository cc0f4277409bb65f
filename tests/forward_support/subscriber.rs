//! A subscriber to the updates of an instance, over a real connection.

use std::net;
use std::time;
use tarragondoor::discovery::config;
use tarragondoor::discovery::feed;
use tarragondoor::discovery::members;
use tarragondoor::discovery::registry;
use tarragondoor::frame;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Connects as `member` and returns the updates that the source sends, until the receiver is dropped.
pub async fn subscribe(
    source: net::SocketAddr,
    member: members::Member,
) -> mpsc::UnboundedReceiver<feed::Update> {
    let (mut read, mut write) = TcpStream::connect(source).await.unwrap().into_split();
    let (updates, received) = mpsc::unbounded_channel();
    let hello = feed::Request::Hello {
        member,
        config: config::ConfigVersion(1),
        searchers: registry::Digest::default(),
    };
    tokio::spawn(async move {
        let mut codec = feed::subscriber_codec();
        let mut hello_timer = tokio::time::interval(time::Duration::from_secs(1));
        loop {
            hello_timer.tick().await;
            let mut buffer = Vec::new();
            codec.encode(&hello, &mut buffer).unwrap();
            if frame::write(&mut write, &buffer).await.is_err() {
                return;
            }
        }
    });
    tokio::spawn(async move {
        let mut codec = feed::source_codec();
        while let Ok(payload) = frame::read(&mut read, feed::FRAME_MAX_BYTES).await {
            let update = codec.decode::<feed::Update>(&payload).unwrap().decompress().unwrap();
            if updates.send(update).is_err() {
                return;
            }
        }
    });
    received
}
