//! Looks up the route, customer and service of a request in the active configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

use compact_str::CompactString;
use derive_more::Display;
use platform::{
    CustomerName, ServiceName,
    configuration::{Configuration, Customer, Route, Service},
};

/// A configuration, indexed for lookups by request.
#[derive(Debug)]
pub struct Routes {
    configuration: Configuration,
    routes: Vec<Arc<Route>>,
    /// Routes by host, longest prefix first.
    by_host: HashMap<CompactString, Vec<usize>>,
    by_key: HashMap<CompactString, usize>,
    urgencies: HashMap<ServiceName, Urgency>,
}

/// What the most urgent routes of a service ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// The shortest latency objective.
    pub shortest_objective: Duration,
    /// The highest priority; 0 is the highest possible.
    pub highest_priority: u8,
}

/// Why a request matches no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum RouteError {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or invalid.
    NoCustomer,
}

/// The matched route and customer of a request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route.
    pub route: Arc<Route>,
    /// The customer; absent on routes that need no key.
    pub customer: Option<CustomerName>,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
}

impl Routes {
    /// Builds the indexes of a configuration.
    pub fn new(mut configuration: Configuration) -> Self {
        let routes: Vec<Arc<Route>> = configuration.routes.drain(..).map(Arc::new).collect();
        let mut by_host: HashMap<CompactString, Vec<usize>> = HashMap::new();
        for (i, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(i);
        }
        for host_routes in by_host.values_mut() {
            host_routes.sort_by_key(|i| std::cmp::Reverse(routes[*i].prefix.len()));
        }
        let by_key = configuration
            .customers
            .iter()
            .enumerate()
            .flat_map(|(i, customer)| customer.keys.iter().map(move |key| (key.clone(), i)))
            .collect();
        let urgencies = urgencies(&routes);
        Self {
            configuration,
            routes,
            by_host,
            by_key,
            urgencies,
        }
    }

    /// Returns the configuration, without its routes.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration.services.iter().find(|s| s.name == name)
    }

    /// Returns what the most urgent routes of a service ask for.
    pub fn urgency(&self, service: &str) -> Option<Urgency> {
        self.urgencies.get(service).copied()
    }

    /// Returns a route by name.
    pub fn by_name(&self, name: &str) -> Option<&Route> {
        self.routes
            .iter()
            .map(AsRef::as_ref)
            .find(|route| route.name == name)
    }

    /// Returns a customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        let mut customers = self.configuration.customers.iter();
        customers.find(|customer| customer.name == name)
    }

    /// Finds the route of a request and checks its API key.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch, RouteError> {
        let route = self.route(host, path).ok_or(RouteError::NoRoute)?;
        let customer = key
            .and_then(|key| self.by_key.get(key))
            .map(|i| &self.configuration.customers[*i]);
        let key_required = !self.configuration.customers.is_empty() && !route.allows_anonymous;
        if key_required && customer.is_none() {
            return Err(RouteError::NoCustomer);
        }
        Ok(RouteMatch {
            customer: customer.map(|c| c.name.clone()),
            priority: customer.and_then(|c| c.priority).unwrap_or(route.priority),
            route: route.clone(),
        })
    }

    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.by_host
            .get(host)?
            .iter()
            .map(|i| &self.routes[*i])
            .find(|route| path.starts_with(route.prefix.as_str()))
    }
}

fn urgencies(routes: &[Arc<Route>]) -> HashMap<ServiceName, Urgency> {
    let mut urgencies: HashMap<ServiceName, Urgency> = HashMap::new();
    for route in routes.iter().filter(|r| !r.latency_objective.is_zero()) {
        for target in &route.split {
            let urgency = urgencies.entry(target.service.clone()).or_insert(Urgency {
                shortest_objective: route.latency_objective,
                highest_priority: route.priority,
            });
            urgency.shortest_objective = urgency.shortest_objective.min(route.latency_objective);
            urgency.highest_priority = urgency.highest_priority.min(route.priority);
        }
    }
    urgencies
}
