//! Distributes the requests of a route among services by weight.

use ecow::EcoString;
use sassafrasproxy_wire::WeightedService;

/// Selects the services of one route with several weighted services in turn (smooth weighted round
/// robin).
///
/// After any number of requests, the count of each service is within two requests of its share.
/// With random selection, the difference would grow with the square root of the count.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    services: Vec<WeightedService>,
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request, or `None` if no service has a weight above 0.
    ///
    /// `offset`, in 0 to 1, moves the starting point, so that not all nodes begin with the same
    /// service.
    pub fn next(&mut self, services: &[WeightedService], offset: f64) -> Option<EcoString> {
        if self.services != services {
            self.services = services.to_vec();
            self.credits = services.iter().map(|entry| entry.weight * offset).collect();
        }
        let total: f64 = services.iter().map(|entry| entry.weight).sum();
        for (credit, entry) in self.credits.iter_mut().zip(services) {
            *credit += entry.weight;
        }
        let weighted = services.iter().enumerate().filter(|(_, entry)| entry.weight > 0.0);
        let (best, entry) =
            weighted.max_by(|(a, _), (b, _)| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= total;
        Some(entry.service.clone())
    }
}
