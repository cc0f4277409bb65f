//! An instance's own settings: its name and location, the addresses that it listens on, and its seeds.
//!
//! The file is JSON with comments and is read once, at the start. Secrets come from the environment.

use crate::ids;
use crate::log;
use crate::peers;
use crate::policy;
use crate::seal;
use compact_str::CompactString;
use serde::Deserialize;
use std::net;

/// The environment variable with the key shared by all instances: 64 hexadecimal digits.
pub const KEY_VARIABLE: &str = "TARRAGONDOOR_KEY";

/// The environment variable with the operators' token.
pub const TOKEN_VARIABLE: &str = "TARRAGONDOOR_TOKEN";

/// The minimum length of the token, in bytes.
pub const TOKEN_MIN_BYTES: usize = 16;

/// Why an instance's settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON with comments, or not of the expected shape.
    #[error("{0}")]
    Malformed(CompactString),
    /// The file is empty.
    #[error("no settings in the file")]
    Empty,
    /// A required environment variable is not set.
    #[error("environment variable {0} is not set")]
    MissingVariable(&'static str),
    /// The key is malformed.
    #[error("environment variable {KEY_VARIABLE}: {0}")]
    BadKey(seal::ParseKeyError),
    /// The token is too short.
    #[error("environment variable {TOKEN_VARIABLE} must have at least {TOKEN_MIN_BYTES} bytes")]
    ShortToken,
}

/// Another instance to contact at the start.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Its name.
    pub instance: ids::InstanceName,
    /// Its address for other instances.
    pub peer_address: net::SocketAddr,
}

/// An instance's own settings.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Its name.
    pub instance: ids::InstanceName,
    /// Its region.
    pub region: ids::RegionName,
    /// Its failure domain.
    pub failure_domain: ids::DomainName,
    /// The HTTP address for callers and operators: it listens there, and they connect to it.
    pub listen: net::SocketAddr,
    /// The UDP and TCP address for other instances: it listens there, and they connect to it.
    pub peer_listen: net::SocketAddr,
    /// The platform's address.
    pub platform: net::SocketAddr,
    /// Instances to contact first, in addition to those on the platform's list.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// How long callers may cache an address reply.
    #[serde(default = "default_address_ttl_ms")]
    pub address_ttl_ms: u32,
    /// The memory of its machine, which bounds that of request bodies; 512 MB if it is not set.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// The number of threads that serve requests.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: u16,
    /// How calls are distributed, queued and admitted; the plain policy is only a baseline for measurements.
    #[serde(default)]
    pub policy: policy::Policy,
    /// The format of logs.
    #[serde(default)]
    pub log: log::Format,
}

/// The secrets of an instance, which must not be logged.
#[derive(Clone)]
pub struct Secrets {
    /// The key that all instances share.
    pub key: seal::ClusterKey,
    /// The operators' token.
    pub token: CompactString,
}

impl Config {
    /// The region and failure domain of the instance.
    pub fn location(&self) -> peers::Location {
        peers::Location { region: self.region.clone(), failure_domain: self.failure_domain.clone() }
    }
}

/// Reads settings from JSON with comments.
///
/// # Errors
///
/// When the text is empty or malformed. The message of a syntax error has the line and column; that of
/// a missing, unknown or ill-typed field has none.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let options = jsonc_parser::ParseOptions::default();
    let value = jsonc_parser::parse_to_serde_value::<Option<serde_json::Value>>(text, &options)
        .map_err(|error| ConfigError::Malformed(compact_str::format_compact!("{error}")))?;
    let Some(value) = value else {
        return Err(ConfigError::Empty);
    };
    serde_json::from_value(value)
        .map_err(|error| ConfigError::Malformed(compact_str::format_compact!("{error}")))
}

/// Reads the secrets through `variable`, which looks up an environment variable.
///
/// # Errors
///
/// When one is missing or malformed.
pub fn secrets(variable: impl Fn(&str) -> Option<String>) -> Result<Secrets, ConfigError> {
    let key = variable(KEY_VARIABLE).ok_or(ConfigError::MissingVariable(KEY_VARIABLE))?;
    let token = variable(TOKEN_VARIABLE).ok_or(ConfigError::MissingVariable(TOKEN_VARIABLE))?;
    if token.len() < TOKEN_MIN_BYTES {
        return Err(ConfigError::ShortToken);
    }
    let key = key.parse().map_err(ConfigError::BadKey)?;
    Ok(Secrets { key, token: token.into() })
}

fn default_address_ttl_ms() -> u32 {
    5_000
}

fn default_worker_threads() -> u16 {
    2
}
