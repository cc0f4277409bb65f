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
use crate::locks;
use crate::rate_limit;
use crate::tenants::usage;
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
/// How many encoded updates are kept for other subscribers: two of each subject.
const ENCODED_MAX: usize = 6;
/// The most log lines per second for connections whose frames can't be read.
const REJECTED_LOG_LINES_PER_S: u32 = 1;
/// The maximum number of queued requests of one subscriber.
const REQUESTS_MAX: usize = 16;

/// Accepts subscribers until the process ends. `link` is the rate of this instance's link, `None` if it is not known.
pub async fn run(
    listener: TcpListener,
    view: sync::Arc<view::View>,
    metrics: sync::Arc<metrics::Metrics>,
    link: Option<pacer::ByteRate>,
) {
    let shared = Shared {
        view,
        metrics,
        pacer: sync::Arc::new(pacer::Pacer::new(link)),
        encoded: sync::Arc::default(),
        rejected_log_limit: sync::Arc::new(rate_limit::RateLimit::new(REJECTED_LOG_LINES_PER_S)),
    };
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve(stream, peer, shared.clone()));
            }
            Err(error) => {
                event!(warn, Event::AcceptFailed, %error, port = "control");
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, peer: net::SocketAddr, shared: Shared) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    let (read, write) = stream.into_split();
    let (requests, received) = mpsc::channel(REQUESTS_MAX);
    let log_limit = shared.rejected_log_limit.clone();
    let reading = tokio::spawn(read_requests(read, peer, requests, log_limit));
    let updates = shared.view.subscribe();
    let mut session = Session {
        shared,
        write,
        codec: feed::source_codec(),
        updates,
        subscriber: None,
        needs_config: false,
        needs_searchers: false,
        members_change: None,
        sent_members: None,
        urgent: None,
        planned: None,
        held: None,
        timeouts_told: None,
        wants_levels: None,
        is_serving: false,
        levels_told: usage::Told::default(),
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
        .shared
        .view
        .change_members(|members| members.remove_subscriber(&subscriber.name, subscriber.boot_ms));
}

async fn read_requests(
    mut read: tcp::OwnedReadHalf,
    peer: net::SocketAddr,
    requests: mpsc::Sender<feed::Request>,
    log_limit: sync::Arc<rate_limit::RateLimit>,
) {
    let mut codec = feed::subscriber_codec();
    loop {
        let request = async {
            let payload = frame::read(&mut read, feed::REQUEST_MAX_BYTES).await?;
            codec.decode::<feed::Request>(&payload)
        };
        // Returning drops `requests`, which ends the session.
        let request = match tokio::time::timeout(SUBSCRIBER_TIMEOUT, request).await {
            Ok(Ok(request)) => request,
            Ok(Err(frame::FrameError::Stream(_))) | Err(_) => return,
            Ok(Err(error)) => {
                if let Some(left_out) = log_limit.allow(clock::now_us()) {
                    event!(warn, Event::SubscriberRejected, %peer, %error, left_out);
                }
                return;
            }
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

/// What an update is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Config,
    Searchers,
    Members,
}

/// An encoded update.
#[derive(Clone)]
struct Encoded {
    update: &'static str,
    subject: Subject,
    body: sync::Arc<[u8]>,
}

impl Encoded {
    fn new(subject: Subject, update: &feed::Update) -> Result<Self, frame::FrameError> {
        Ok(Self { update: update.into(), subject, body: update.encode()?.into() })
    }
}

/// What an encoded update was made from.
#[derive(Clone)]
enum Origin {
    /// A published update.
    Update(sync::Arc<feed::Update>),
    /// The complete configuration of this version.
    Config(config::ConfigVersion),
    /// All searchers, as of this revision.
    Searchers(registry::StoreRevision, registry::Digest),
    /// All members of this list.
    Members(sync::Arc<[members::Member]>),
}

impl Origin {
    fn is_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Update(a), Self::Update(b)) => sync::Arc::ptr_eq(a, b),
            (Self::Config(a), Self::Config(b)) => a == b,
            (Self::Searchers(a, a_digest), Self::Searchers(b, b_digest)) => {
                (a, a_digest) == (b, b_digest)
            }
            (Self::Members(a), Self::Members(b)) => sync::Arc::ptr_eq(a, b),
            _ => false,
        }
    }

    fn subject(&self) -> Subject {
        match self {
            Self::Update(update) => match **update {
                feed::Update::Config(_) | feed::Update::ConfigDelta(_) => Subject::Config,
                _ => Subject::Searchers,
            },
            Self::Config(_) => Subject::Config,
            Self::Searchers(..) => Subject::Searchers,
            Self::Members(_) => Subject::Members,
        }
    }
}

/// The updates that were encoded last: all sessions send the same ones at about the same time.
#[derive(Default)]
struct EncodedCache(sync::Mutex<Vec<(Origin, Encoded)>>);

impl EncodedCache {
    /// Returns the update made from `origin`, and makes it by `make` if it is not one of the last.
    fn encode(
        &self,
        origin: Origin,
        make: impl FnOnce() -> feed::Update,
    ) -> Result<Encoded, frame::FrameError> {
        let mut last = locks::lock(&self.0);
        if let Some((_, encoded)) = last.iter().find(|(known, _)| known.is_same(&origin)) {
            return Ok(encoded.clone());
        }
        let encoded = Encoded::new(origin.subject(), &make())?;
        if last.len() == ENCODED_MAX {
            last.remove(0);
        }
        last.push((origin, encoded.clone()));
        Ok(encoded)
    }
}

/// An encoded update that waits for its slot.
struct PlannedFrame {
    encoded: Encoded,
    /// Whether the subscriber waits for it; a heartbeat follows that says how recent it is.
    is_requested: bool,
    slot: pacer::Slot,
}

/// What all sessions share.
#[derive(Clone)]
struct Shared {
    view: sync::Arc<view::View>,
    metrics: sync::Arc<metrics::Metrics>,
    pacer: sync::Arc<pacer::Pacer>,
    encoded: sync::Arc<EncodedCache>,
    rejected_log_limit: sync::Arc<rate_limit::RateLimit>,
}

/// A connection from one subscriber. All updates but heartbeats are paced; while one waits for its slot, further
/// ones are not taken from the queue unless they can be sent ahead of it.
struct Session {
    shared: Shared,
    write: tcp::OwnedWriteHalf,
    codec: frame::Codec,
    updates: broadcast::Receiver<sync::Arc<feed::Update>>,
    subscriber: Option<members::Member>,
    /// Whether the subscriber is to be sent the complete configuration.
    needs_config: bool,
    /// Whether the subscriber is to be sent all searchers.
    needs_searchers: bool,
    members_change: Option<MembersChange>,
    /// The members that the subscriber knows of; `None` if it was sent none.
    sent_members: Option<sync::Arc<[members::Member]>>,
    /// A small update that waits for its slot.
    urgent: Option<PlannedFrame>,
    /// A large update that waits for its slot.
    planned: Option<PlannedFrame>,
    /// An update that waits for the planned one to be sent.
    held: Option<Encoded>,
    /// The number of changes of clients' timeouts when they were last told, and when that was.
    timeouts_told: Option<(u64, u64)>,
    /// Whether the subscriber wants the levels of quotas, and what it was told of them.
    wants_levels: Option<u32>,
    /// Whether clients are sent to the subscriber; others need no levels.
    is_serving: bool,
    levels_told: usage::Told,
}

impl Session {
    async fn run(
        &mut self,
        mut requests: mpsc::Receiver<feed::Request>,
    ) -> Result<(), frame::FrameError> {
        let mut heartbeat = tokio::time::interval(HEARTBEAT_PERIOD);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut members_changed = self.shared.view.members_epoch();
        let mut usage_timer =
            tokio::time::interval(time::Duration::from_micros(usage::REPORT_PERIOD_US));
        usage_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let has_quotas = self.shared.view.quotas().is_some();
        loop {
            self.plan_requested()?;
            let urgent_at = self.urgent.as_ref().map(|planned| planned.slot.send_at(0));
            let planned_at = self.planned.as_ref().map(|planned| planned.slot.send_at(0));
            let is_free = urgent_at.is_none() && self.held.is_none();
            let can_plan_members = is_free && !self.waits(Subject::Members);
            let members_at =
                self.members_change.filter(|_| can_plan_members).map(|change| change.due_at);
            tokio::select! {
                request = requests.recv() => match request {
                    Some(feed::Request::Hello { member, config, searchers }) => {
                        self.hello(member, config, searchers).await?;
                    }
                    Some(feed::Request::SendConfig) => self.needs_config = true,
                    Some(feed::Request::SendSearchers) => self.needs_searchers = true,
                    Some(feed::Request::SendEvacuations) => self.send_evacuations().await?,
                    Some(feed::Request::ClientTimeouts(timeouts)) => self.shared.view.tell_client_timeouts(&timeouts),
                    Some(feed::Request::Usage(report)) => self.apply_usage(&report),
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
                _ = usage_timer.tick(), if has_quotas && self.is_serving => self.tell_levels().await?,
                () = wait_until(members_at) => self.plan_members()?,
                () = wait_until(urgent_at) => {
                    let urgent = self.urgent.take();
                    self.send_planned(urgent).await?;
                }
                () = wait_until(planned_at) => {
                    let planned = self.planned.take();
                    self.send_planned(planned).await?;
                }
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
        self.shared.view.change_members(|members| members.upsert_subscriber(member));
        if !is_new {
            return Ok(());
        }
        self.needs_config = config < self.shared.view.config_version();
        self.needs_searchers = self.is_same_region() && searchers != self.shared.view.digest();
        let now = Instant::now();
        self.members_change = Some(MembersChange { changed_at: now, due_at: now });
        self.send_heartbeat().await
    }

    /// Whether the subscriber is in this instance's region.
    fn is_same_region(&self) -> bool {
        let region = self.shared.view.with_members(|members| members.me().region.clone());
        self.subscriber.as_ref().is_some_and(|member| member.region == region)
    }

    /// Plans the members if the subscriber is in the same region; subscribers in other regions get them from a hub of their
    /// own region.
    fn plan_members(&mut self) -> Result<(), frame::FrameError> {
        let Some(change) = self.members_change.take().filter(|_| self.is_same_region()) else {
            return Ok(());
        };
        self.shared.metrics.record_members_delay(change.changed_at.elapsed().as_secs_f64());
        let members = self.shared.view.published_members();
        let encoded = match &self.sent_members {
            Some(sent) => {
                let delta = members::MembersDelta::between(sent, &members);
                Encoded::new(Subject::Members, &feed::Update::MembersDelta(delta))?
            }
            None => {
                let origin = Origin::Members(members.clone());
                self.shared.encoded.encode(origin, || feed::Update::Members(members.to_vec()))?
            }
        };
        self.sent_members = Some(members);
        self.plan(encoded, false);
        Ok(())
    }

    /// Plans the next of the requested updates, unless one is planned already.
    fn plan_requested(&mut self) -> Result<(), frame::FrameError> {
        if self.planned.is_some() {
            return Ok(());
        }
        if let Some(held) = self.held.take() {
            self.plan(held, false);
            return Ok(());
        }
        if std::mem::take(&mut self.needs_config)
            && let Some(table) = self.shared.view.table()
        {
            let encoded =
                self.shared.encoded.encode(Origin::Config(table.config.version), || {
                    feed::Update::Config(Box::new(config::Config::clone(&table.config)))
                })?;
            self.plan(encoded, true);
            return Ok(());
        }
        if std::mem::take(&mut self.needs_searchers) {
            let (as_of, digest, searchers) = self.shared.view.all_searchers();
            let encoded = self.shared.encoded.encode(Origin::Searchers(as_of, digest), || {
                feed::Update::AllSearchers { as_of, searchers }
            })?;
            self.plan(encoded, true);
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
        let members = self.shared.view.published_members();
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
    /// between regions is expensive, and subscribers elsewhere request what the hub of their own region has not sent.
    async fn forward(&mut self, update: &sync::Arc<feed::Update>) -> Result<(), frame::FrameError> {
        if matches!(**update, feed::Update::Evacuations(_)) {
            return self.send_evacuations().await;
        }
        let origin = Origin::Update(update.clone());
        let subject = origin.subject();
        match (subject, self.is_same_region()) {
            (_, true) => {
                let encoded = self.shared.encoded.encode(origin, || feed::Update::clone(update))?;
                self.plan(encoded, false);
                Ok(())
            }
            (Subject::Config, false) => self.send_heartbeat().await,
            (_, false) => Ok(()),
        }
    }

    /// Sends the evacuated zones, if they are known. They are not paced: they are small and urgent.
    async fn send_evacuations(&mut self) -> Result<(), frame::FrameError> {
        let Some(snapshot) = self.shared.view.evacuations() else {
            return Ok(());
        };
        let update = feed::Update::Evacuations(snapshot);
        let mut buffer = Vec::new();
        self.codec.encode(&update, &mut buffer)?;
        self.shared.metrics.record_feed_sent((&update).into(), buffer.len());
        self.write(&buffer).await
    }

    /// Whether an update about `subject` waits to be sent.
    fn waits(&self, subject: Subject) -> bool {
        let planned = [&self.urgent, &self.planned];
        let mut encoded = planned.into_iter().flatten().map(|planned| &planned.encoded);
        encoded.any(|encoded| encoded.subject == subject)
            || self.held.as_ref().is_some_and(|held| held.subject == subject)
    }

    /// Whether the subscriber is about to be sent what is new about `subject`. Updates that were published for
    /// subscribers of this region don't count for one in another region.
    fn is_behind(&self, subject: Subject) -> bool {
        let is_requested = match subject {
            Subject::Config => self.needs_config,
            Subject::Searchers => self.needs_searchers,
            Subject::Members => false,
        };
        let has_updates = !self.updates.is_empty() && self.is_same_region();
        has_updates || is_requested || self.waits(subject)
    }

    /// Sends a heartbeat. It states nothing about the configuration or the searchers while updates about them wait to be
    /// sent: the subscriber would request what it is about to get.
    async fn send_heartbeat(&mut self) -> Result<(), frame::FrameError> {
        let ages = self.shared.view.ages();
        let (config, config_age_us) = match self.is_behind(Subject::Config) {
            true => (config::ConfigVersion::default(), None),
            false => (self.shared.view.config_version(), ages.config_us),
        };
        let (searchers, searchers_age_us, searchers_as_of) =
            match self.is_behind(Subject::Searchers) {
                true => (registry::Digest::default(), None, None),
                false => {
                    let view = &self.shared.view;
                    (view.digest(), ages.searchers_us, view.searchers_as_of())
                }
            };
        let heartbeat = feed::Update::Heartbeat {
            config,
            searchers,
            searchers_age_us,
            searchers_as_of,
            config_age_us,
            read_age_us: self.shared.view.own_read_age_us(),
            evacuations: self.shared.view.evacuations_summary(),
        };
        let mut buffer = Vec::new();
        self.codec.encode(&heartbeat, &mut buffer)?;
        self.shared.metrics.record_feed_sent((&heartbeat).into(), buffer.len());
        self.write(&buffer).await
    }

    /// Tells a subscriber in the same region the longest timeouts that clients have stated, if they have changed or were
    /// told long ago.
    async fn tell_client_timeouts(&mut self) -> Result<(), frame::FrameError> {
        if !self.is_same_region() {
            return Ok(());
        }
        let due = self
            .shared
            .view
            .client_timeouts_due(self.timeouts_told, client_wait::Estimator::longest);
        let Some((timeouts, told)) = due else {
            return Ok(());
        };
        self.timeouts_told = Some(told);
        let update = feed::Update::ClientTimeouts(timeouts);
        let mut buffer = Vec::new();
        self.codec.encode(&update, &mut buffer)?;
        self.shared.metrics.record_feed_sent((&update).into(), buffer.len());
        self.write(&buffer).await
    }

    fn apply_usage(&mut self, report: &usage::Report) {
        self.wants_levels = report.wants_levels;
        self.is_serving = report.is_serving;
        if let (Some(quotas), Some(subscriber)) = (self.shared.view.quotas(), &self.subscriber) {
            quotas.report(&subscriber.name, subscriber.boot_ms, report);
        }
    }

    /// Tells the subscriber the levels of quotas that have changed.
    async fn tell_levels(&mut self) -> Result<(), frame::FrameError> {
        let (Some(quotas), Some(subscriber)) = (self.shared.view.quotas(), &self.subscriber) else {
            return Ok(());
        };
        let due = quotas.levels_due(&subscriber.name, self.wants_levels, &mut self.levels_told);
        let Some(levels) = due else {
            return Ok(());
        };
        let update = feed::Update::Usage(levels);
        let mut buffer = Vec::new();
        self.codec.encode(&update, &mut buffer)?;
        self.shared.metrics.record_feed_sent((&update).into(), buffer.len());
        self.write(&buffer).await
    }

    /// Reserves a slot for an update, or holds it back until the planned one is sent. An update must not overtake a larger
    /// one about the same subject.
    fn plan(&mut self, encoded: Encoded, is_requested: bool) {
        let is_urgent = pacer::Pacer::is_urgent(encoded.body.len())
            && self.urgent.is_none()
            && !self.waits(encoded.subject);
        if !is_urgent && self.planned.is_some() {
            self.held = Some(encoded);
            return;
        }
        let slot = self.shared.pacer.reserve(encoded.body.len(), is_urgent);
        let planned = Some(PlannedFrame { encoded, is_requested, slot });
        match is_urgent {
            true => self.urgent = planned,
            false => self.planned = planned,
        }
    }

    /// Sends a planned update at the rate of its slot.
    async fn send_planned(
        &mut self,
        planned: Option<PlannedFrame>,
    ) -> Result<(), frame::FrameError> {
        let Some(planned) = planned else {
            return Ok(());
        };
        let mut buffer = Vec::new();
        self.codec.encode_body(&planned.encoded.body, &mut buffer)?;
        self.shared.metrics.record_feed_sent(planned.encoded.update, buffer.len());
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
