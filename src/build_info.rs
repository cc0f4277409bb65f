//! What a program was built from.

use compact_str::CompactString;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::info;
use prometheus_client::registry;
use std::convert;
use std::fmt;
use std::str::FromStr;

/// The text for what is not known.
const UNKNOWN: &str = "unknown";

/// The id of a commit; unknown if the program was built outside a repository.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitId(Option<CompactString>);

impl fmt::Display for CommitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.as_deref().unwrap_or(UNKNOWN))
    }
}

impl FromStr for CommitId {
    type Err = convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_known = !text.is_empty() && text != UNKNOWN;
        Ok(Self(is_known.then(|| text.into())))
    }
}

/// How the sources that a program was built from relate to the commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum SourceState {
    /// They are those of the commit.
    Clean,
    /// Files were changed, added or removed since the commit.
    Modified,
    /// Not known.
    #[default]
    Unknown,
}

/// The digest of a program's sources, which identifies them without a repository.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourcesDigest(Option<u64>);

impl fmt::Display for SourcesDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(digest) => write!(f, "{digest:016x}"),
            None => f.write_str(UNKNOWN),
        }
    }
}

impl FromStr for SourcesDigest {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            UNKNOWN => Ok(Self(None)),
            text => Ok(Self(Some(u64::from_str_radix(text, 16)?))),
        }
    }
}

/// What a program was built from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BuildInfo {
    /// The version of its package.
    pub version: CompactString,
    /// The commit.
    pub commit: CommitId,
    /// How the sources relate to it.
    pub source_state: SourceState,
    /// The digest of the sources.
    pub sources: SourcesDigest,
    /// The kind of machine that it runs on.
    pub target_triple: CompactString,
}

impl fmt::Display for BuildInfo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { version, commit, source_state, sources, target_triple } = self;
        write!(f, "{version} (commit {commit}, {source_state}, sources {sources}, {target_triple})")
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    version: String,
    commit: String,
    source_state: String,
    sources: String,
    target_triple: String,
}

impl BuildInfo {
    /// Adds a metric whose labels are the fields.
    pub fn register(&self, registry: &mut registry::Registry) {
        let labels = Labels {
            version: self.version.to_string(),
            commit: self.commit.to_string(),
            source_state: self.source_state.to_string(),
            sources: self.sources.to_string(),
            target_triple: self.target_triple.to_string(),
        };
        registry.register("build", "What the program was built from", info::Info::new(labels));
    }
}
