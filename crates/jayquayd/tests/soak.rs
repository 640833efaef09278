//! A short soak with fixed seeds, and every seed that ever failed.

use std::path::PathBuf;
use std::time::Duration;

use soak::Options;

/// Seeds that are run each time. One that failed stays here with a line on its cause.
const SEEDS: [u64; 2] = [1, 2];

fn options(seed: u64) -> Options {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    Options {
        seed,
        length: Duration::from_secs(6),
        instances: 2,
        clients: 6,
        binary: PathBuf::from(env!("CARGO_BIN_EXE_jayquayd")),
        folder,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fixed_seeds_break_no_promise() {
    for seed in SEEDS {
        let outcome = soak::run(&options(seed)).await.unwrap();
        assert_eq!(outcome.violations, [], "seed {seed}");
        assert!(outcome.answered > 0, "seed {seed}");
    }
}
