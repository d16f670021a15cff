//! Sharing the requests of a route out among services by weight.

use ecow::EcoString;
use sassafrasproxy_wire::WeightedService;

/// Chooses the services of one split route in turn, so that shares are met at every count.
///
/// Smooth weighted round robin: after any number of requests a service's count is within one of
/// its share, where random choice would stray by the root of the count.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    parts: Vec<WeightedService>,
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// The service for the next request; `None` if no service has a weight.
    ///
    /// `spread` in 0 to 1 moves the starting point, so that nodes do not all begin with the same.
    pub fn next(&mut self, parts: &[WeightedService], spread: f64) -> Option<EcoString> {
        if self.parts != parts {
            self.parts = parts.to_vec();
            self.credits = parts.iter().map(|part| part.weight * spread).collect();
        }
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight;
        }
        let weighted = parts.iter().enumerate().filter(|(_, part)| part.weight > 0.0);
        let (best, part) =
            weighted.max_by(|(a, _), (b, _)| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= total;
        Some(part.service.clone())
    }
}
