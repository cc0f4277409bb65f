//! Connects to the hubs, and a hub to the instances that read the store, and applies their updates. At the start, and
//! while no other instance is known, it also connects to the seeds.

use crate::clock;
use crate::discovery::client_wait;
use crate::discovery::config;
use crate::discovery::feed;
use crate::discovery::members;
use crate::discovery::reader;
use crate::discovery::registry;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::frame;
use crate::tenants::quota;
use crate::tenants::usage;
use std::io;
use std::net;
use std::sync;
use std::time;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task;

/// The longest time without an update, or a part of one, from a source: two heartbeat periods plus a margin.
const SOURCE_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);
/// How often a subscriber repeats its hello when nothing has changed, as a keep-alive for its source.
const HELLO_PERIOD: time::Duration = time::Duration::from_millis(1_000);
/// The timeout for opening a connection: a few round trips between regions.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// The delay before reconnecting to a lost source.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(100);
/// How often the set of sources is recomputed when the members have not changed.
const SOURCES_CHECK_PERIOD: time::Duration = time::Duration::from_millis(500);
/// The delay before an instance requests from a source the state that it lacks: the source usually sends that state
/// by itself.
const FETCH_DELAY_MIN_US: u64 = 400_000;
/// The longest such delay; it doubles with each request as long as the states differ.
const FETCH_DELAY_MAX_US: u64 = 3_200_000;
/// The first delay for a source in another region, as a share of the time in which changes have to take effect: the
/// hub of the own region sends large updates to one instance after the other.
const OTHER_REGION_FETCH_SHARE: f64 = 0.3;
/// How long after the start connections to seeds that are not hubs are kept.
const SEED_CONNECTION_US: u64 = 4_000_000;

/// Keeps connections to all sources open until the process ends. `seeds` holds the control addresses of the
/// seeds in the current settings; there may be no instance at some of them. `bounds` are the times in which changes
/// have to take effect.
pub async fn run(
    view: sync::Arc<view::View>,
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
    bounds: reader::Bounds,
) {
    let change_bound = bounds.config_apply.min(bounds.drain);
    let timing = Timing {
        other_region_delay_us: change_bound.mul_f64(OTHER_REGION_FETCH_SHARE).as_micros() as u64,
        stale_after_us: bounds.stale_after_us(),
    };
    let started_us = clock::now_us();
    let mut sources: Vec<(net::SocketAddr, task::JoinHandle<()>)> = Vec::new();
    let mut members_changed = view.members_epoch();
    loop {
        view.change_members(|members| members.expire(clock::now_us()));
        let selected = select_sources(&view, &seeds.borrow(), clock::now_us() - started_us);
        sources.retain(|(address, task)| {
            let is_selected = selected.contains(address);
            if !is_selected {
                task.abort();
                let now_us = clock::now_us();
                view.change_members(|members| {
                    members.release_source(now_us, *address);
                    false
                });
            }
            is_selected
        });
        for address in selected {
            if sources.iter().any(|(known, _)| *known == address) {
                continue;
            }
            sources
                .push((address, tokio::spawn(maintain_connection(address, view.clone(), timing))));
        }
        // `changed` can't fail: this task holds the view, which owns the sender.
        let _ = tokio::time::timeout(SOURCES_CHECK_PERIOD, members_changed.changed()).await;
    }
}

/// The control addresses of the sources that this instance should be connected to.
fn select_sources(
    view: &view::View,
    seeds: &[net::SocketAddr],
    uptime_us: u64,
) -> Vec<net::SocketAddr> {
    view.with_members(|members| {
        let me = members.me().control;
        let mut selected = members.selected_sources();
        let is_alone = members.live().len() == 1;
        if is_alone || uptime_us < SEED_CONNECTION_US {
            selected.extend(seeds);
        }
        selected.retain(|address| *address != me);
        selected.sort();
        selected.dedup();
        selected
    })
}

/// Connects to one source, and reconnects whenever the connection ends.
async fn maintain_connection(
    address: net::SocketAddr,
    view: sync::Arc<view::View>,
    timing: Timing,
) {
    loop {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let ended = match connecting.await {
            Ok(Ok(stream)) => {
                event!(info, Event::SourceConnected, source = %address);
                let ended = SourceConnection::new(address, &view, timing).run(stream).await;
                event!(info, Event::SourceLost, source = %address, reason = %ended);
                ended
            }
            Ok(Err(error)) => ConnectionEnd::Failed(error.into()),
            Err(_) => ConnectionEnd::TimedOut,
        };
        let now_us = clock::now_us();
        let timed_out = matches!(ended, ConnectionEnd::TimedOut);
        view.change_members(|members| {
            members.mark_source_lost(now_us, address, timed_out);
            true
        });
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Why a connection to a source ended.
#[derive(Debug, thiserror::Error)]
enum ConnectionEnd {
    #[error("silent")]
    TimedOut,
    #[error("{0}")]
    Failed(frame::FrameError),
}

impl From<frame::FrameError> for ConnectionEnd {
    fn from(error: frame::FrameError) -> Self {
        match error {
            frame::FrameError::Stream(error) if error.kind() == io::ErrorKind::TimedOut => {
                Self::TimedOut
            }
            error => Self::Failed(error),
        }
    }
}

/// When state that a source has is requested from it.
#[derive(Clone, Copy, Debug)]
struct Timing {
    /// The first delay if the source is in another region.
    other_region_delay_us: u64,
    /// The age from which on this instance's view is stale: nothing newer is about to arrive from elsewhere.
    stale_after_us: u64,
}

/// One connection to a source.
struct SourceConnection<'a> {
    address: net::SocketAddr,
    view: &'a view::View,
    timing: Timing,
    /// When to request a configuration that the source has and this instance lacks.
    config_fetch_delay: FetchDelay,
    /// The same for searchers.
    searchers_fetch_delay: FetchDelay,
    /// The number of changes of clients' timeouts when they were last told, and when that was.
    timeouts_told: Option<(u64, u64)>,
    /// What the source was told of the use of quotas.
    usage_reported: quota::Reported,
    /// Whether the source is in this instance's region; `None` until that is known.
    is_same_region: Option<bool>,
}

impl<'a> SourceConnection<'a> {
    fn new(address: net::SocketAddr, view: &'a view::View, timing: Timing) -> Self {
        Self {
            address,
            view,
            timing,
            config_fetch_delay: FetchDelay::default(),
            searchers_fetch_delay: FetchDelay::default(),
            timeouts_told: None,
            usage_reported: quota::Reported::default(),
            is_same_region: None,
        }
    }

    async fn run(&mut self, stream: TcpStream) -> ConnectionEnd {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "could not set TCP_NODELAY");
        }
        let (mut read, mut write) = stream.into_split();
        let (updates, mut received) = tokio::sync::mpsc::channel(16);
        let reading = tokio::spawn(async move {
            let mut codec = feed::source_codec();
            loop {
                let payload =
                    frame::read_parts(&mut read, feed::FRAME_MAX_BYTES, SOURCE_TIMEOUT).await;
                let update = payload.and_then(|payload| codec.decode::<feed::Update>(&payload));
                let update = update.and_then(feed::Update::decompress);
                let result = update.map_err(ConnectionEnd::from);
                let is_over = result.is_err();
                if updates.send(result).await.is_err() || is_over {
                    return;
                }
            }
        });
        let mut codec = feed::subscriber_codec();
        let mut last_hello: Option<members::Member> = None;
        let mut members_changed = self.view.members_epoch();
        let mut hello = tokio::time::interval(HELLO_PERIOD);
        hello.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut usage_timer =
            tokio::time::interval(time::Duration::from_micros(usage::REPORT_PERIOD_US));
        usage_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let has_quotas = self.view.quotas().is_some();
        let ended = 'session: loop {
            let mut requests = Vec::new();
            tokio::select! {
                update = received.recv() => match update {
                    Some(Ok(update)) => requests = self.apply(update),
                    Some(Err(ended)) => break 'session ended,
                    None => break 'session ConnectionEnd::TimedOut,
                },
                _ = hello.tick() => {
                    requests.push(self.hello());
                    requests.extend(self.client_timeouts());
                }
                _ = usage_timer.tick(), if has_quotas && last_hello.is_some() => {
                    requests.extend(self.usage_report());
                }
                _ = members_changed.changed() => {
                    let me = self.view.with_members(|members| members.me().clone());
                    if last_hello.as_ref() != Some(&me) {
                        requests.push(self.hello());
                    }
                },
            }
            for request in &requests {
                if let feed::Request::Hello { member, .. } = request {
                    last_hello = Some(member.clone());
                }
                if let Err(error) = send(&mut codec, &mut write, request).await {
                    break 'session ConnectionEnd::Failed(error);
                }
            }
        };
        reading.abort();
        ended
    }

    fn hello(&self) -> feed::Request {
        let member = self.view.with_members(|members| members.me().clone());
        feed::Request::Hello {
            member,
            config: self.view.config_version(),
            searchers: self.view.digest(),
        }
    }

    /// What to tell the source of clients' timeouts; `None` if it knows.
    fn client_timeouts(&mut self) -> Option<feed::Request> {
        let select = client_wait::Estimator::own_longest;
        let (timeouts, told) = self.view.client_timeouts_due(self.timeouts_told, select)?;
        self.timeouts_told = Some(told);
        Some(feed::Request::ClientTimeouts(timeouts))
    }

    /// What to tell the source of the use of quotas; `None` if it knows.
    fn usage_report(&mut self) -> Option<feed::Request> {
        let report = self.view.quotas()?.report_due(self.address, &mut self.usage_reported)?;
        Some(feed::Request::Usage(report))
    }

    fn apply_usage(&mut self, levels: &usage::Levels) {
        let Some(quotas) = self.view.quotas() else {
            return;
        };
        if self.is_same_region.is_none() {
            self.is_same_region = self.view.with_members(|members| {
                let live = members.live();
                let source = live.iter().find(|member| member.control == self.address)?;
                Some(source.region == members.me().region)
            });
        }
        quotas.apply(self.address, self.is_same_region.unwrap_or(false), levels);
    }

    /// Applies an update. Returns the requests to send to the source.
    fn apply(&mut self, update: feed::Update) -> Vec<feed::Request> {
        match update {
            feed::Update::AllSearchers { as_of, searchers } => {
                self.view.apply_all_searchers(as_of, searchers);
            }
            feed::Update::Searchers(changes) => self.view.apply_searchers(changes, 0),
            feed::Update::Members(members) => {
                let address = self.address;
                self.view.change_members(|known| known.set_source_members(address, members));
            }
            feed::Update::MembersDelta(delta) => {
                let address = self.address;
                self.view.change_members(|known| known.apply_source_delta(address, delta));
            }
            feed::Update::ClientTimeouts(timeouts) => self.view.tell_client_timeouts(&timeouts),
            feed::Update::Evacuations(snapshot) => self.view.receive_evacuations(&snapshot),
            feed::Update::Config(config) => {
                self.view.offer_config(*config, view::Origin::Instance(self.address), 0);
            }
            feed::Update::ConfigDelta(delta) => {
                if delta.version <= self.view.config_version() {
                    return Vec::new();
                }
                let base = self.view.table().map(|table| table.config.clone());
                match base.and_then(|base| delta.apply(&base)) {
                    Some(config) => {
                        self.view.offer_config(config, view::Origin::Instance(self.address), 0);
                    }
                    None => return vec![feed::Request::SendConfig],
                }
            }
            feed::Update::Usage(levels) => self.apply_usage(&levels),
            // Received updates are decompressed already.
            feed::Update::Compressed(_) => {}
            feed::Update::Heartbeat {
                config,
                searchers,
                searchers_age_us,
                searchers_as_of,
                config_age_us,
                read_age_us,
                evacuations,
            } => {
                if let Some(age_us) = read_age_us {
                    self.view.mark_read_by_source(age_us);
                }
                let mut requests = Vec::new();
                if evacuations.is_some_and(|summary| self.view.lacks_evacuations(summary)) {
                    requests.push(feed::Request::SendEvacuations);
                }
                if self.apply_searchers_heartbeat(searchers, searchers_age_us) {
                    requests.push(feed::Request::SendSearchers);
                } else if let Some((as_of, age_us)) = searchers_as_of
                    && searchers == self.view.digest()
                {
                    self.view.set_searchers_as_of(as_of, age_us);
                }
                if self.apply_config_heartbeat(config, config_age_us) {
                    requests.push(feed::Request::SendConfig);
                }
                return requests;
            }
        }
        Vec::new()
    }

    /// Records how recent the source's searchers are. Returns whether to request them.
    fn apply_searchers_heartbeat(&mut self, digest: registry::Digest, age_us: Option<u64>) -> bool {
        let Some(age_us) = age_us else {
            return false;
        };
        if digest == self.view.digest() {
            self.searchers_fetch_delay.reset();
            self.view.mark_searchers_verified(age_us);
            return false;
        }
        let own_age_us = self.view.ages().searchers_us;
        let has_none = own_age_us.is_none();
        let delay_us = self.first_fetch_delay_us(own_age_us);
        self.searchers_fetch_delay.is_due(clock::now_us(), has_none, delay_us)
    }

    /// Records how recent the source's configuration is. Returns whether to request it.
    fn apply_config_heartbeat(
        &mut self,
        version: config::ConfigVersion,
        age_us: Option<u64>,
    ) -> bool {
        self.view.mark_config_exists(version);
        let own_version = self.view.config_version();
        if version <= own_version {
            self.config_fetch_delay.reset();
            if let Some(age_us) = age_us.filter(|_| version == own_version) {
                self.view.mark_config_verified(age_us);
            }
            return false;
        }
        let has_none = own_version == config::ConfigVersion::default();
        let delay_us = self.first_fetch_delay_us(self.view.ages().config_us);
        self.config_fetch_delay.is_due(clock::now_us(), has_none, delay_us)
    }

    /// The delay from when this instance learns that the source has other state until it requests that state. There is
    /// none for a hub whose own state, of this age, is stale: the source stands in for the readers.
    fn first_fetch_delay_us(&self, own_age_us: Option<u64>) -> u64 {
        let (is_hub, is_other_region) = self.view.with_members(|members| {
            let live = members.live();
            let source = live.iter().find(|member| member.control == self.address);
            let is_other = source.is_some_and(|source| source.region != members.me().region);
            (members.is_hub(), is_other)
        });
        if is_hub && own_age_us.is_some_and(|age_us| age_us >= self.timing.stale_after_us) {
            return 0;
        }
        if is_other_region {
            self.timing.other_region_delay_us.max(FETCH_DELAY_MIN_US)
        } else {
            FETCH_DELAY_MIN_US
        }
    }
}

/// Delays requests for state that a source has and this instance lacks.
#[derive(Clone, Copy, Debug, Default)]
struct FetchDelay {
    /// When the states were first found to differ, or the last request was made.
    since_us: Option<u64>,
    /// The delay of the next request; `None` before the first one.
    delay_us: Option<u64>,
}

impl FetchDelay {
    fn reset(&mut self) {
        *self = Self::default();
    }

    /// Whether to request the state now: at once if the instance has none at all, otherwise after
    /// `first_delay_us`. Further requests follow after delays that double.
    fn is_due(&mut self, now_us: u64, has_none: bool, first_delay_us: u64) -> bool {
        let since_us = *self.since_us.get_or_insert(now_us);
        let is_immediate = since_us == now_us && has_none;
        if !is_immediate && now_us - since_us < self.delay_us.unwrap_or(first_delay_us) {
            return false;
        }
        self.since_us = Some(now_us);
        let next_us = self.delay_us.map_or(FETCH_DELAY_MIN_US, |delay_us| delay_us * 2);
        self.delay_us = Some(next_us.min(FETCH_DELAY_MAX_US));
        true
    }
}

async fn send(
    codec: &mut frame::Codec,
    write: &mut tokio::net::tcp::OwnedWriteHalf,
    request: &feed::Request,
) -> Result<(), frame::FrameError> {
    let mut buffer = Vec::new();
    codec.encode(request, &mut buffer)?;
    match tokio::time::timeout(SOURCE_TIMEOUT, frame::write(write, &buffer)).await {
        Ok(written) => written,
        Err(_) => Err(frame::FrameError::Stream(std::io::ErrorKind::TimedOut.into())),
    }
}
