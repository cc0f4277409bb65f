//! Finds the route of a request.

use crate::discovery::config;
use compact_str::CompactString;
use std::sync;

/// A configuration with an index over its routes.
#[derive(Debug)]
pub struct RouteTable {
    /// The configuration.
    pub config: sync::Arc<config::Config>,
    /// Host in lower case, prefix and position in the configuration's routes; sorted.
    index: Vec<(CompactString, CompactString, usize)>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: sync::Arc<config::Config>) -> Self {
        let mut index = Vec::with_capacity(config.routes.len());
        for (at, route) in config.routes.iter().enumerate() {
            index.push((route.host.to_ascii_lowercase(), route.prefix.clone(), at));
        }
        index.sort();
        Self { config, index }
    }

    /// The route with the longest prefix that begins `path`, among those of `host`. A port in `host` does
    /// not count.
    pub fn find(&self, host: &str, path: &str) -> Option<&config::Route> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let mut end = path.len();
        // Prefixes end with a slash, so only the starts of the path that do so can match.
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let found = self
                .index
                .binary_search_by(|(h, p, _)| (h.as_str(), p.as_str()).cmp(&(&host, prefix)));
            if let Ok(at) = found {
                return self.config.routes.get(self.index[at].2);
            }
            end = slash;
        }
        None
    }
}
