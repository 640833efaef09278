//! How long requests take at an upstream.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use units::Millis;

/// How long a request takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServiceTime {
    /// Always the same.
    Fixed(Millis),
    /// Lognormal with this mean and this standard deviation of the logarithm.
    Lognormal {
        /// The mean.
        mean: Millis,
        /// The standard deviation of the logarithm.
        sigma: f64,
    },
}

impl ServiceTime {
    /// Draws the time of the next request.
    pub fn draw<R: Rng>(self, random: &mut R) -> Duration {
        match self {
            Self::Fixed(time) => time.duration(),
            Self::Lognormal { mean, sigma } => {
                let log_mean = f64::from(mean.0).max(f64::MIN_POSITIVE).ln() - sigma * sigma / 2.0;
                let log = log_mean + sigma * standard_normal(random);
                Duration::try_from_secs_f64(log.exp() / 1_000.0).unwrap_or_default()
            }
        }
    }
}

/// How an upstream is slower in the first time of its life.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long it is cold.
    pub lasts: Millis,
    /// How many times longer requests take meanwhile.
    pub factor: f64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            lasts: Millis(0),
            factor: 1.0,
        }
    }
}

impl ColdStart {
    /// The factor at this age.
    pub(crate) fn factor_at(self, age: Duration) -> f64 {
        if age < self.lasts.duration() { self.factor } else { 1.0 }
    }
}

/// A draw of the normal distribution by the method of Box and Muller.
fn standard_normal<R: Rng>(random: &mut R) -> f64 {
    let radius: f64 = random.random();
    let angle: f64 = random.random();
    // The draw lies in [0, 1), and the logarithm needs (0, 1].
    (-2.0 * (1.0 - radius).ln()).sqrt() * (TAU * angle).cos()
}
