//! Runs all backend servers of a deployment in one process, each with its own listener.

use crate::client;
use crate::layout;
use crate::platform::list;
use crate::searcher;
use std::io;
use std::net;
use tarragondoor::ids;
use tarragondoor::platform_api;
use tarragondoor::snapshot;
use xxhash_rust::xxh3;

/// The snapshot that every backend server holds at its start.
pub const FIRST_SNAPSHOT: snapshot::Snapshot =
    snapshot::Snapshot { index_version: ids::IndexVersion(1), map_version: ids::MapVersion(1) };

/// Why a fleet did not start or could not be registered.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The fleet file is invalid, or a name derived from it is.
    #[error("bad fleet file")]
    Config(#[from] layout::FleetConfigError),
    /// A listener could not be opened.
    #[error("can't open a listener for a backend server")]
    Listen(#[from] io::Error),
    /// The platform gave no readable answer.
    #[error("no readable answer from the platform")]
    Platform(#[from] client::ClientError),
    /// The platform refused the list of instances with this HTTP status.
    #[error("the platform refused the list of instances with status {0}")]
    Refused(u16),
}

/// One backend server and its location.
#[derive(Debug)]
pub struct Member {
    /// The backend server.
    pub searcher: searcher::Searcher,
    /// Its region and failure domain.
    pub site: layout::Site,
}

impl Member {
    /// Its entry in the platform's list of instances.
    pub fn listed(&self, state: platform_api::ListState) -> platform_api::ListedInstance {
        let config = self.searcher.config();
        platform_api::ListedInstance {
            workload: platform_api::Workload::Searcher {
                searcher: config.searcher.clone(),
                service: config.service.clone(),
                address: self.searcher.address(),
            },
            region: self.site.region.clone(),
            failure_domain: self.site.failure_domain.clone(),
            state,
        }
    }
}

/// A service with its backend servers.
#[derive(Debug)]
pub struct Service {
    /// Its name.
    pub service: ids::ServiceName,
    /// Its part of the fleet file.
    pub spec: layout::ServiceSpec,
    /// The backend servers, in the order of their numbers.
    pub members: Vec<Member>,
}

/// A running fleet. Dropping it stops all backend servers.
#[derive(Debug)]
pub struct Fleet {
    /// The services, sorted by name.
    pub services: Vec<Service>,
    domain_count: usize,
}

/// Starts all backend servers on loopback and registers them in the list of `platform`, if given.
///
/// # Errors
///
/// When the configuration is invalid, a listener can't be opened or the platform refuses the list.
pub async fn start(
    config: &layout::FleetConfig,
    platform: Option<net::SocketAddr>,
) -> Result<Fleet, FleetError> {
    let sites = config.sites();
    if sites.is_empty() {
        return Err(layout::FleetConfigError::NoDomain.into());
    }
    let mut services = Vec::new();
    for spec in &config.services {
        services.push(start_service(config.seed, &sites, spec).await?);
    }
    services.sort_by(|a, b| a.service.cmp(&b.service));
    let fleet = Fleet { services, domain_count: sites.len() };
    if let Some(platform) = platform {
        fleet.register(platform).await?;
    }
    Ok(fleet)
}

async fn start_service(
    seed: u64,
    sites: &[layout::Site],
    spec: &layout::ServiceSpec,
) -> Result<Service, FleetError> {
    let service = &spec.service;
    let mut members = Vec::new();
    let holdings = spec.holdings(sites.len(), FIRST_SNAPSHOT, spec.shards);
    for (number, holding) in holdings.into_iter().enumerate() {
        let name = format!("{service}-s{number:02}");
        let config = searcher::Config {
            searcher: name.parse().map_err(layout::FleetConfigError::from)?,
            service: service.clone(),
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            slots: spec.slots,
            queue: spec.queue,
            connections: spec.connections,
            open_ms: spec.open_ms,
            mean_us: spec.mean_us,
            holdings: vec![holding],
            seed: xxh3::xxh3_64_with_seed(name.as_bytes(), seed),
        };
        let searcher = searcher::Searcher::start(config, searcher::Faults::default()).await?;
        members.push(Member { searcher, site: sites[number % sites.len()].clone() });
    }
    Ok(Service { service: service.clone(), spec: spec.clone(), members })
}

impl Fleet {
    /// Finds a service by name.
    pub fn service(&self, service: &ids::ServiceName) -> Option<&Service> {
        let index = self.services.binary_search_by(|entry| entry.service.cmp(service)).ok()?;
        self.services.get(index)
    }

    /// Finds a backend server by name.
    pub fn searcher(&self, name: &ids::SearcherName) -> Option<&searcher::Searcher> {
        let member = self.members().find(|member| member.searcher.config().searcher == *name)?;
        Some(&member.searcher)
    }

    /// All backend servers.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.services.iter().flat_map(|service| &service.members)
    }

    /// The entries of all backend servers in the platform's list of instances, as live.
    pub fn listed(&self) -> Vec<platform_api::ListedInstance> {
        self.members().map(|member| member.listed(platform_api::ListState::Live)).collect()
    }

    /// Adds all backend servers to the platform's list of instances.
    ///
    /// # Errors
    ///
    /// When the platform refuses the list or gives no readable answer.
    pub async fn register(&self, platform: net::SocketAddr) -> Result<(), FleetError> {
        let change = list::ListChange { upsert: self.listed(), remove: Vec::new() };
        let reply = client::Client::default().post(platform, "/standin/instances", &change).await?;
        match reply.status {
            200 => Ok(()),
            status => Err(FleetError::Refused(status)),
        }
    }

    /// Adds a snapshot to the backend servers of `service`, each with its shards; false if there is
    /// no such service.
    pub fn publish(
        &self,
        service: &ids::ServiceName,
        snapshot: snapshot::Snapshot,
        shard_count: u32,
    ) -> bool {
        let Some(service) = self.service(service) else { return false };
        let holdings = service.spec.holdings(self.domain_count, snapshot, shard_count);
        for (member, holding) in service.members.iter().zip(holdings) {
            member.searcher.publish(holding);
        }
        true
    }

    /// Removes a snapshot from the backend servers of `service`; false if there is no such service.
    pub fn retire(&self, service: &ids::ServiceName, snapshot: snapshot::Snapshot) -> bool {
        let Some(service) = self.service(service) else { return false };
        for member in &service.members {
            member.searcher.retire(snapshot);
        }
        true
    }
}
