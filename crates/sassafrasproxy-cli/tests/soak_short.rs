//! A short soak with fixed seeds; more, and longer ones, by hand.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;

use sassafrasproxy_soak::{SoakSettings, soak};

/// Seeds that CI plays.
const SEEDS: [u64; 2] = [1, 2];

#[tokio::test(flavor = "multi_thread")]
async fn fixed_seeds() {
    for seed in SEEDS {
        let settings = SoakSettings { seed, seconds: 5, nodes: 4 };
        let binary = Path::new(env!("CARGO_BIN_EXE_sassafrasproxy"));
        let report = soak(binary, settings).await.unwrap();
        println!("seed {seed}: {:?}", report.answers);
        assert!(report.broken.is_empty(), "seed {seed}: {:#?}", report.broken);
        let answered = report.answers.get(&200).copied().unwrap_or(0);
        assert!(answered > 0, "seed {seed}: nobody was served: {:?}", report.answers);
    }
}
