//! Accepts connections from subscribers and sends them the changes that this instance learns of.

use crate::clock;
use crate::discovery::client_wait;
use crate::discovery::config;
use crate::discovery::feed;
use crate::discovery::members;
use crate::discovery::pacer;
use crate::discovery::registry;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::forward::metrics;
use crate::frame;
use std::net;
use std::sync;
use std::time;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The interval between two [`feed::Update::Heartbeat`]s.
pub const HEARTBEAT_PERIOD: time::Duration = time::Duration::from_millis(500);
/// How long member changes are batched before they are sent: many instances may start at once.
const MEMBERS_BATCH_DELAY: time::Duration = time::Duration::from_millis(100);
/// The longest time without a request from a subscriber, which repeats its hello as a keep-alive.
const SUBSCRIBER_TIMEOUT: time::Duration = time::Duration::from_millis(3_500);
/// The timeout for one write to a subscriber.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// The maximum number of queued requests of one subscriber.
const REQUESTS_MAX: usize = 16;

/// Accepts subscribers until the process ends. `link` is the rate of this instance's link, `None` if it is not known.
pub async fn run(
    listener: TcpListener,
    view: sync::Arc<view::View>,
    metrics: sync::Arc<metrics::Metrics>,
    link: Option<pacer::ByteRate>,
) {
    let pacer = sync::Arc::new(pacer::Pacer::new(link));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve(stream, peer, view.clone(), metrics.clone(), pacer.clone()));
            }
            Err(error) => {
                event!(warn, Event::AcceptFailed, %error, port = "control");
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    peer: net::SocketAddr,
    view: sync::Arc<view::View>,
    metrics: sync::Arc<metrics::Metrics>,
    pacer: sync::Arc<pacer::Pacer>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    let (read, write) = stream.into_split();
    let (requests, received) = mpsc::channel(REQUESTS_MAX);
    let reading = tokio::spawn(read_requests(read, requests));
    let updates = view.subscribe();
    let mut session = Session {
        view,
        metrics,
        write,
        codec: feed::source_codec(),
        pacer,
        updates,
        subscriber: None,
        needs_config: false,
        needs_searchers: false,
        members_change: None,
        sent_members: None,
        planned: None,
        timeouts_told: None,
    };
    if let Err(error) = session.run(received).await {
        tracing::debug!(%error, %peer, "connection from subscriber ended");
    }
    reading.abort();
    let Some(subscriber) = session.subscriber else {
        return;
    };
    event!(info, Event::SubscriberLost, instance = %subscriber.name, boot = subscriber.boot_ms);
    session
        .view
        .change_members(|members| members.remove_subscriber(&subscriber.name, subscriber.boot_ms));
}

async fn read_requests(mut read: tcp::OwnedReadHalf, requests: mpsc::Sender<feed::Request>) {
    let mut codec = feed::subscriber_codec();
    loop {
        let request = async {
            let payload = frame::read(&mut read, feed::REQUEST_MAX_BYTES).await?;
            codec.decode::<feed::Request>(&payload)
        };
        let Ok(Ok(request)) = tokio::time::timeout(SUBSCRIBER_TIMEOUT, request).await else {
            // Dropping `requests` ends the session.
            return;
        };
        if requests.send(request).await.is_err() {
            return;
        }
    }
}

/// Waits until `at`, or forever if there is no such time.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// A change of the members that has not been sent to the subscriber.
#[derive(Clone, Copy, Debug)]
struct MembersChange {
    /// When the members changed first since they were last sent.
    changed_at: Instant,
    /// When they are to be sent.
    due_at: Instant,
}

/// An encoded update that waits for its slot.
struct PlannedFrame {
    update: &'static str,
    body: Vec<u8>,
    /// Whether the subscriber waits for it; a heartbeat follows that says how recent it is.
    is_requested: bool,
    slot: pacer::Slot,
}

/// A connection from one subscriber. All updates but heartbeats are paced; while one waits for its slot, further
/// ones are not encoded yet.
struct Session {
    view: sync::Arc<view::View>,
    metrics: sync::Arc<metrics::Metrics>,
    write: tcp::OwnedWriteHalf,
    codec: frame::Codec,
    pacer: sync::Arc<pacer::Pacer>,
    updates: broadcast::Receiver<sync::Arc<feed::Update>>,
    subscriber: Option<members::Member>,
    /// Whether the subscriber is to be sent the complete configuration.
    needs_config: bool,
    /// Whether the subscriber is to be sent all searchers.
    needs_searchers: bool,
    members_change: Option<MembersChange>,
    /// The members that the subscriber knows of; `None` if it was sent none.
    sent_members: Option<sync::Arc<[members::Member]>>,
    planned: Option<PlannedFrame>,
    /// The number of changes of clients' timeouts when they were last told, and when that was.
    timeouts_told: Option<(u64, u64)>,
}

impl Session {
    async fn run(
        &mut self,
        mut requests: mpsc::Receiver<feed::Request>,
    ) -> Result<(), frame::FrameError> {
        let mut heartbeat = tokio::time::interval(HEARTBEAT_PERIOD);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut members_changed = self.view.members_epoch();
        loop {
            self.plan_requested()?;
            let planned_at = self.planned.as_ref().map(|planned| planned.slot.send_at(0));
            let is_free = planned_at.is_none();
            let members_at = self.members_change.filter(|_| is_free).map(|change| change.due_at);
            tokio::select! {
                request = requests.recv() => match request {
                    Some(feed::Request::Hello { member, config, searchers }) => {
                        self.hello(member, config, searchers).await?;
                    }
                    Some(feed::Request::SendConfig) => self.needs_config = true,
                    Some(feed::Request::SendSearchers) => self.needs_searchers = true,
                    Some(feed::Request::ClientTimeouts(timeouts)) => self.view.tell_client_timeouts(&timeouts),
                    None => return Ok(()),
                },
                update = self.updates.recv(), if self.subscriber.is_some() && is_free => match update {
                    Ok(update) => self.forward(&update).await?,
                    Err(broadcast::error::RecvError::Lagged(_)) => self.send_all().await?,
                    Err(broadcast::error::RecvError::Closed) => return Ok(()),
                },
                // Can't fail: the session holds the view, which owns the sender.
                _ = members_changed.changed(), if self.subscriber.is_some() => self.note_members_change(),
                _ = heartbeat.tick(), if self.subscriber.is_some() => {
                    self.send_heartbeat().await?;
                    self.tell_client_timeouts().await?;
                }
                () = wait_until(members_at) => self.plan_members()?,
                () = wait_until(planned_at) => self.send_planned().await?,
            }
        }
    }

    async fn hello(
        &mut self,
        member: members::Member,
        config: config::ConfigVersion,
        searchers: registry::Digest,
    ) -> Result<(), frame::FrameError> {
        let is_new = self.subscriber.is_none();
        self.subscriber = Some(member.clone());
        if is_new {
            event!(info, Event::SubscriberJoined, instance = %member.name, boot = member.boot_ms);
        }
        self.view.change_members(|members| members.upsert_subscriber(member));
        if !is_new {
            return Ok(());
        }
        self.needs_config = config < self.view.config_version();
        self.needs_searchers = self.is_same_region() && searchers != self.view.digest();
        let now = Instant::now();
        self.members_change = Some(MembersChange { changed_at: now, due_at: now });
        self.send_heartbeat().await
    }

    /// Whether the subscriber is in this instance's region.
    fn is_same_region(&self) -> bool {
        let region = self.view.with_members(|members| members.me().region.clone());
        self.subscriber.as_ref().is_some_and(|member| member.region == region)
    }

    /// Plans the members if the subscriber is in the same region; subscribers in other regions get them from a
    /// reader of their own region.
    fn plan_members(&mut self) -> Result<(), frame::FrameError> {
        let Some(change) = self.members_change.take().filter(|_| self.is_same_region()) else {
            return Ok(());
        };
        self.metrics.record_members_delay(change.changed_at.elapsed().as_secs_f64());
        let members = self.view.published_members();
        let update = match &self.sent_members {
            Some(sent) => {
                feed::Update::MembersDelta(members::MembersDelta::between(sent, &members))
            }
            None => feed::Update::Members(members.to_vec()),
        };
        self.sent_members = Some(members);
        self.plan(&update, false)
    }

    /// Plans the next of the requested updates, unless one is planned already.
    fn plan_requested(&mut self) -> Result<(), frame::FrameError> {
        if self.planned.is_some() {
            return Ok(());
        }
        if std::mem::take(&mut self.needs_config)
            && let Some(table) = self.view.table()
        {
            let config = config::Config::clone(&table.config);
            return self.plan(&feed::Update::Config(Box::new(config)), true);
        }
        if std::mem::take(&mut self.needs_searchers) {
            let (as_of, searchers) = self.view.all_searchers();
            return self.plan(&feed::Update::AllSearchers { as_of, searchers }, true);
        }
        Ok(())
    }

    /// Sends a heartbeat and, within the region, the searchers, but not the configuration: the subscriber requests it if
    /// the heartbeat has a newer version.
    async fn send_all(&mut self) -> Result<(), frame::FrameError> {
        self.needs_searchers = self.is_same_region();
        self.send_heartbeat().await
    }

    /// Notes a change of the members. They are sent after a delay, since many instances may start at once.
    fn note_members_change(&mut self) {
        let members = self.view.published_members();
        let is_sent =
            self.sent_members.as_ref().is_some_and(|sent| sync::Arc::ptr_eq(sent, &members));
        if is_sent {
            return;
        }
        let now = Instant::now();
        let due_at = now + MEMBERS_BATCH_DELAY;
        self.members_change.get_or_insert(MembersChange { changed_at: now, due_at });
    }

    /// Forwards an update. Searchers and configurations go to subscribers in the same region only: traffic
    /// between regions is expensive, and subscribers elsewhere request what the reader of their own region
    /// has not sent.
    async fn forward(&mut self, update: &feed::Update) -> Result<(), frame::FrameError> {
        match update {
            feed::Update::Searchers(_) if !self.is_same_region() => Ok(()),
            feed::Update::Config(_) | feed::Update::ConfigDelta(_) if !self.is_same_region() => {
                self.send_heartbeat().await
            }
            _ => self.plan(update, false),
        }
    }

    /// Whether updates wait to be sent to the subscriber. Updates that were published for subscribers of this region
    /// don't count for one in another region.
    fn is_behind(&self) -> bool {
        let has_updates = !self.updates.is_empty() && self.is_same_region();
        has_updates || self.planned.is_some() || self.needs_config || self.needs_searchers
    }

    /// Sends a heartbeat. While updates wait to be sent, it states nothing about the configuration and the
    /// searchers: the subscriber would request what it is about to get.
    async fn send_heartbeat(&mut self) -> Result<(), frame::FrameError> {
        let heartbeat = match self.is_behind() {
            true => feed::Update::Heartbeat {
                config: config::ConfigVersion::default(),
                searchers: registry::Digest::default(),
                searchers_age_us: None,
                searchers_as_of: None,
                config_age_us: None,
            },
            false => {
                let ages = self.view.ages();
                feed::Update::Heartbeat {
                    config: self.view.config_version(),
                    searchers: self.view.digest(),
                    searchers_age_us: ages.searchers_us,
                    searchers_as_of: self.view.searchers_as_of(),
                    config_age_us: ages.config_us,
                }
            }
        };
        let mut buffer = Vec::new();
        self.codec.encode(&heartbeat, &mut buffer)?;
        self.metrics.record_feed_sent((&heartbeat).into(), buffer.len());
        self.write(&buffer).await
    }

    /// Tells a subscriber in the same region the longest timeouts that clients have stated, if they have changed or were
    /// told long ago.
    async fn tell_client_timeouts(&mut self) -> Result<(), frame::FrameError> {
        if !self.is_same_region() {
            return Ok(());
        }
        let due =
            self.view.client_timeouts_due(self.timeouts_told, client_wait::Estimator::longest);
        let Some((timeouts, told)) = due else {
            return Ok(());
        };
        self.timeouts_told = Some(told);
        let update = feed::Update::ClientTimeouts(timeouts);
        let mut buffer = Vec::new();
        self.codec.encode(&update, &mut buffer)?;
        self.metrics.record_feed_sent((&update).into(), buffer.len());
        self.write(&buffer).await
    }

    /// Encodes an update and reserves a slot for it.
    fn plan(&mut self, update: &feed::Update, is_requested: bool) -> Result<(), frame::FrameError> {
        let body = postcard::to_stdvec(update)?;
        let slot = self.pacer.reserve(body.len());
        self.planned = Some(PlannedFrame { update: update.into(), body, is_requested, slot });
        Ok(())
    }

    /// Sends the planned update at the rate of its slot.
    async fn send_planned(&mut self) -> Result<(), frame::FrameError> {
        let Some(planned) = self.planned.take() else {
            return Ok(());
        };
        let mut buffer = Vec::new();
        self.codec.encode_body(&planned.body, &mut buffer)?;
        self.metrics.record_feed_sent(planned.update, buffer.len());
        for (index, chunk) in buffer.chunks(frame::PART_BYTES).enumerate() {
            tokio::time::sleep_until(planned.slot.send_at(index * frame::PART_BYTES)).await;
            self.write(chunk).await?;
        }
        if planned.is_requested { self.send_heartbeat().await } else { Ok(()) }
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), frame::FrameError> {
        let started_us = clock::now_us();
        match tokio::time::timeout(WRITE_TIMEOUT, frame::write(&mut self.write, bytes)).await {
            Ok(written) => written,
            Err(_) => {
                let waited_ms = (clock::now_us() - started_us) / 1_000;
                tracing::debug!(waited_ms, "write to subscriber timed out");
                Err(frame::FrameError::Stream(std::io::ErrorKind::TimedOut.into()))
            }
        }
    }
}
