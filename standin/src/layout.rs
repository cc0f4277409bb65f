//! The fleet file, and the placement of shards on a deployment's backend servers.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use tarragondoor::ids;
use tarragondoor::snapshot;

/// A fleet file: JSON with comments.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The seed of the random service times of all backend servers.
    pub seed: u64,
    /// The regions.
    pub regions: Vec<Region>,
    /// The services.
    pub services: Vec<ServiceSpec>,
}

/// A region with its failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub region: ids::RegionName,
    /// The failure domains.
    pub failure_domains: Vec<ids::DomainName>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its name.
    pub service: ids::ServiceName,
    /// How many backend servers it has.
    pub searchers: u16,
    /// How many shards the index has.
    pub shards: u32,
    /// How many backend servers hold each shard.
    pub replicas: u16,
    /// How many requests a backend server processes at a time.
    pub slots: u16,
    /// How many requests may wait for a slot of a backend server; further ones are shed.
    pub queue: u16,
    /// The maximum number of open connections of a backend server.
    pub connections: u16,
    /// How long a new connection takes until its requests are processed.
    pub open_ms: u32,
    /// The mean time that a request occupies a slot.
    pub mean_us: u32,
}

/// Why a fleet file was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetConfigError {
    /// It is not valid JSON with comments, or a field is missing, unknown or of the wrong type.
    #[error("{0}")]
    Syntax(CompactString),
    /// No region has a failure domain.
    #[error("there is no failure domain")]
    NoDomain,
    /// A service has no backend servers, shards or replicas, or more replicas than backend servers.
    #[error("service {0}: needs searchers, shards, and from 1 to `searchers` replicas")]
    BadService(ids::ServiceName),
    /// The name of a backend server, made up of its service and number, is not valid.
    #[error("{0}")]
    BadName(#[from] ids::ParseIdError),
}

/// The location of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// The region.
    pub region: ids::RegionName,
    /// The failure domain.
    pub failure_domain: ids::DomainName,
}

impl FleetConfig {
    /// Parses and checks a fleet file.
    pub fn parse(text: &str) -> Result<Self, FleetConfigError> {
        let parsed = jsonc_parser::parse_to_serde_value::<Self>(text, &Default::default());
        let config = parsed.map_err(|e| FleetConfigError::Syntax(format_compact!("{e}")))?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), FleetConfigError> {
        if self.sites().is_empty() {
            return Err(FleetConfigError::NoDomain);
        }
        for spec in &self.services {
            let replicas_fit = (1..=spec.searchers).contains(&spec.replicas);
            if spec.shards == 0 || !replicas_fit {
                return Err(FleetConfigError::BadService(spec.service.clone()));
            }
        }
        Ok(())
    }

    /// All failure domains, in the file's order.
    pub fn sites(&self) -> Vec<Site> {
        let mut sites = Vec::new();
        for region in &self.regions {
            for failure_domain in &region.failure_domains {
                let region = region.region.clone();
                sites.push(Site { region, failure_domain: failure_domain.clone() });
            }
        }
        sites
    }
}

impl ServiceSpec {
    /// Returns the holding of each backend server for a snapshot with `shard_count` shards.
    ///
    /// Backend server `i` is in failure domain `i` modulo `domain_count`. Shards are assigned round
    /// robin, offset by the version of the shard map; the replicas of a shard go to different
    /// failure domains as long as there are enough.
    pub fn holdings(
        &self,
        domain_count: usize,
        snapshot: snapshot::Snapshot,
        shard_count: u32,
    ) -> Vec<snapshot::Holding> {
        let empty = snapshot::Holding { snapshot, shard_count, shards: Vec::new() };
        let mut holdings = vec![empty; usize::from(self.searchers)];
        for shard in 0..shard_count {
            for holder in self.holders(domain_count, snapshot.map_version, shard) {
                holdings[holder].shards.push(ids::ShardId(shard));
            }
        }
        holdings
    }

    /// The numbers of the backend servers that hold a shard.
    fn holders(&self, domain_count: usize, map_version: ids::MapVersion, shard: u32) -> Vec<usize> {
        let searchers = usize::from(self.searchers);
        let replicas = usize::from(self.replicas);
        let start = (u64::from(shard) + map_version.0) % u64::from(self.searchers);
        let order: Vec<usize> = (0..searchers).map(|i| (start as usize + i) % searchers).collect();
        let mut holders = Vec::new();
        for holder in &order {
            let domain_used =
                holders.iter().any(|used| used % domain_count == holder % domain_count);
            if holders.len() < replicas && !domain_used {
                holders.push(*holder);
            }
        }
        for holder in &order {
            if holders.len() < replicas && !holders.contains(holder) {
                holders.push(*holder);
            }
        }
        holders
    }
}
