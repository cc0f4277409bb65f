//! Finds the route of a request.

use crate::discovery::config;
use crate::tenants::credentials;
use compact_str::CompactString;
use std::sync;

/// A configuration with an index of its routes and of its tenants' keys.
#[derive(Debug)]
pub struct RouteTable {
    /// The configuration.
    pub config: sync::Arc<config::Config>,
    /// Lower-case host, prefix and position in `config.routes`; sorted by host, prefix and the route's name.
    index: Vec<(CompactString, CompactString, usize)>,
    /// The tenants' keys.
    pub credentials: credentials::Index,
}

impl RouteTable {
    /// Builds the indexes of a configuration.
    pub fn new(config: sync::Arc<config::Config>) -> Self {
        let mut index = Vec::with_capacity(config.routes.len());
        for (at, route) in config.routes.iter().enumerate() {
            index.push((route.host.to_ascii_lowercase(), route.prefix.clone(), at));
        }
        // Of several routes that match the same requests all instances choose the same one.
        index.sort_by(|a, b| {
            (&a.0, &a.1, &config.routes[a.2].name).cmp(&(&b.0, &b.1, &config.routes[b.2].name))
        });
        let credentials = credentials::Index::new(config.tenants.as_slice());
        Self { config, index, credentials }
    }

    /// Finds the route of `host` with the longest prefix that matches `path`; `None` if no prefix matches. A
    /// port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&config::Route> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let mut end = path.len();
        // Prefixes end with a slash, so only prefixes of the path that end with one can match.
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let at = self
                .index
                .partition_point(|(h, p, _)| (h.as_str(), p.as_str()) < (host.as_str(), prefix));
            match self.index.get(at) {
                Some((h, p, route)) if *h == host && p == prefix => {
                    return self.config.routes.get(*route);
                }
                Some(_) | None => {}
            }
            end = slash;
        }
        None
    }
}
