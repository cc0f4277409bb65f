//! The searchers and replicas of each service. They are computed on each change, not for each query.

use crate::dispatch;
use crate::holdings;
use crate::ids;
use crate::peers;
use std::sync;

/// A service's searchers and its newest complete snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The service.
    pub service: ids::ServiceName,
    /// Its searchers, sorted by name.
    pub searchers: Vec<dispatch::ServiceSearcher>,
    /// The replicas of the newest complete snapshot, if there is one.
    pub replicas: Option<sync::Arc<holdings::Replicas>>,
}

/// The routes of all services, sorted by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    routes: Vec<sync::Arc<Route>>,
}

impl Routes {
    /// The routes of all services in the directory.
    pub fn new(
        directory: &peers::Directory,
        holdings: &holdings::Holdings,
        location: &peers::Location,
    ) -> Self {
        let mut services: Vec<ids::ServiceName> = Vec::new();
        for listed in directory.all() {
            services.push(listed.service.clone());
        }
        services.sort();
        services.dedup();
        let mut routes = Vec::with_capacity(services.len());
        for service in services {
            routes.push(sync::Arc::new(compute_route(service, directory, holdings, location)));
        }
        Self { routes }
    }

    /// Returns these routes with those of `services` recomputed.
    pub fn with_updated(
        &self,
        services: &[ids::ServiceName],
        directory: &peers::Directory,
        holdings: &holdings::Holdings,
        location: &peers::Location,
    ) -> Self {
        let mut routes = self.routes.clone();
        for service in services {
            let updated =
                sync::Arc::new(compute_route(service.clone(), directory, holdings, location));
            match routes.binary_search_by(|route| route.service.cmp(service)) {
                Err(index) => routes.insert(index, updated),
                Ok(index) => {
                    if let Some(route) = routes.get_mut(index) {
                        *route = updated;
                    }
                }
            }
        }
        Self { routes }
    }

    /// The route of a service; `None` if no searcher of it is listed or reported.
    pub fn find(&self, service: &ids::ServiceName) -> Option<&sync::Arc<Route>> {
        let index = self.routes.binary_search_by(|route| route.service.cmp(service)).ok()?;
        self.routes.get(index)
    }
}

fn compute_route(
    service: ids::ServiceName,
    directory: &peers::Directory,
    holdings: &holdings::Holdings,
    location: &peers::Location,
) -> Route {
    let mut searchers = Vec::new();
    for listed in directory.all() {
        if listed.service != service {
            continue;
        }
        let distance = location.distance(&listed.location.region, &listed.location.failure_domain);
        searchers.push(dispatch::ServiceSearcher { searcher: listed.searcher.clone(), distance });
    }
    let replicas = holdings.newest_complete(&service, None).map(sync::Arc::new);
    Route { service, searchers, replicas }
}
