//! Newtypes for the names and numbers that the protocols carry.
//!
//! Every type implements `Display` and `FromStr`, which are inverse to each other.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Why a name or number is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`NAME_MAX_BYTES`].
    #[error("a name has at most {NAME_MAX_BYTES} bytes")]
    TooLong,
    /// The text has a character outside `a-z A-Z 0-9 - _ .`.
    #[error("a name has only letters, digits, '-', '_' and '.', not {0:?}")]
    BadCharacter(char),
    /// The text is not an unsigned number, or the number is too large for its type.
    #[error("not a number: {0:?}")]
    NotANumber(CompactString),
}

fn check_name(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(ParseIdError::TooLong);
    }
    for c in text.chars() {
        if c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.') {
            continue;
        }
        return Err(ParseIdError::BadCharacter(c));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(CompactString::from(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = ParseIdError;

            fn try_from(text: CompactString) -> Result<Self, Self::Error> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> CompactString {
                name.0
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text.parse() {
                    Ok(number) => Ok(Self(number)),
                    Err(_) => Err(ParseIdError::NotANumber(CompactString::from(text))),
                }
            }
        }
    };
}

name_type!(
    /// The name of an instance of the query tier, unique in a deployment.
    InstanceName
);
name_type!(
    /// The name of a backend server, unique in a deployment.
    SearcherName
);
name_type!(
    /// The name of a service: one index, spread over shards.
    ServiceName
);
name_type!(
    /// The name of a region.
    RegionName
);
name_type!(
    /// The name of a failure domain, unique in a deployment.
    DomainName
);
name_type!(
    /// The name of a non-idempotent operation, such as `claim` or `order`.
    OperationName
);

number_type!(
    /// Identifies one run of an instance's process: its start time, in microseconds since the Unix epoch.
    BootId,
    u64
);
number_type!(
    /// How many times a member has refuted a suspicion during one boot.
    Incarnation,
    u32
);
number_type!(
    /// A shard of a service, counted from 0.
    ShardId,
    u32
);
number_type!(
    /// The version of a service's index.
    IndexVersion,
    u64
);
number_type!(
    /// The version of a service's shard map.
    MapVersion,
    u64
);
number_type!(
    /// The revision of the confirmed settings, counted from 1; 0 means none.
    Revision,
    u64
);
number_type!(
    /// One attempt to have a backend server run a request; never reused.
    AttemptId,
    u64
);
number_type!(
    /// One query of a caller; drawn at random by the instance that receives it.
    QueryId,
    u64
);
