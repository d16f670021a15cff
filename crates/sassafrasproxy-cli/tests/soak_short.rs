//! A short soak test with fixed seeds; other seeds and longer runs are started by hand.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;

use sassafrasproxy_soak::{SoakSettings, run_soak};

/// The seeds that CI runs.
const SEEDS: [u64; 2] = [1, 2];

#[tokio::test(flavor = "multi_thread")]
async fn fixed_seeds() {
    for seed in SEEDS {
        let settings = SoakSettings { seed, duration_s: 5, gateway_count: 4 };
        let binary = Path::new(env!("CARGO_BIN_EXE_sassafrasproxy"));
        let report = run_soak(binary, settings).await.unwrap();
        println!("seed {seed}: {:?}", report.status_counts);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        let answered = report.status_counts.get(&200).copied().unwrap_or(0);
        assert!(answered > 0, "seed {seed}: no request was answered: {:?}", report.status_counts);
    }
}
