//! Handles the frames that other instances send over links.

use crate::background_tasks;
use crate::entry;
use crate::ids;
use crate::link;
use crate::operators;
use crate::owner;
use crate::peer_api;
use std::sync;

/// Handles the frames received on accepted links, and the reports received on dialled links.
pub struct PeerServer {
    /// The instance.
    pub node: sync::Arc<entry::Node>,
}

impl link::FrameHandler for PeerServer {
    fn handle_frame(
        &self,
        peer: &ids::InstanceName,
        frame: peer_api::Frame,
        sender: &link::FrameSender,
    ) {
        match frame {
            peer_api::Frame::Search(search) => {
                self.node.owner.search(&search, &owner::ReplyTo::Link(sender.clone()));
            }
            peer_api::Frame::Cancel(attempts) => self.node.owner.cancel(&attempts),
            peer_api::Frame::Request { id, request } => {
                let node = self.node.clone();
                let sender = sender.clone();
                tokio::spawn(async move {
                    let reply = answer(&node, request).await;
                    if sender.send(peer_api::Frame::Reply { id, reply }).await.is_err() {
                        tracing::debug!("link closed before the reply was sent");
                    }
                });
            }
            peer_api::Frame::Heartbeat => {}
            _ => tracing::debug!(%peer, "unexpected frame on an accepted link"),
        }
    }

    fn link_accepted(&self, _peer: &ids::InstanceName, sender: &link::FrameSender) {
        let reports = self.node.owner.reports();
        if sender.try_send(peer_api::Frame::Reports(reports)).is_err() {
            tracing::debug!(
                "could not send the initial reports: the link is closed or its queue is full"
            );
        }
    }

    fn handle_reports(&self, reports: Vec<peer_api::SearcherReport>) {
        self.node.merge_reports(reports);
    }
}

async fn answer(node: &sync::Arc<entry::Node>, request: peer_api::Request) -> peer_api::Reply {
    match request {
        peer_api::Request::OwnerRun(run) => peer_api::Reply::OwnerRun(node.owner.run(run).await),
        peer_api::Request::HomeRun { traceparent, call } => {
            peer_api::Reply::HomeRun(node.run_as_home(call, traceparent).await)
        }
        peer_api::Request::List => peer_api::Reply::List(background_tasks::list_json(node)),
        peer_api::Request::Fetch(call) => {
            peer_api::Reply::Fetch(operators::fetch(node, call).await)
        }
    }
}
