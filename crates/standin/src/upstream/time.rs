//! How long requests take at an upstream.

use std::f64::consts::TAU;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use units::Millis;

/// The highest factor and standard deviation.
const MAX_NUMBER: f64 = 1e6;

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

/// A text does not tell how long requests take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseServiceTimeError;

impl fmt::Display for ParseServiceTimeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a service time is MILLISECONDS, or MEAN:SIGMA for a lognormal one")
    }
}

impl std::error::Error for ParseServiceTimeError {}

impl FromStr for ServiceTime {
    type Err = ParseServiceTimeError;

    fn from_str(text: &str) -> Result<Self, ParseServiceTimeError> {
        let Some((mean, sigma)) = text.split_once(':') else {
            return text.parse().map(Self::Fixed).map_err(|_error| ParseServiceTimeError);
        };
        let mean = mean.parse().map_err(|_error| ParseServiceTimeError)?;
        let sigma = number(sigma).ok_or(ParseServiceTimeError)?;
        Ok(Self::Lognormal { mean, sigma })
    }
}

impl fmt::Display for ServiceTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fixed(time) => write!(f, "{}", time.0),
            Self::Lognormal { mean, sigma } => write!(f, "{}:{sigma}", mean.0),
        }
    }
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

/// A text does not tell how an upstream is slower at first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseColdStartError;

impl fmt::Display for ParseColdStartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a cold start is MILLISECONDS:FACTOR")
    }
}

impl std::error::Error for ParseColdStartError {}

impl FromStr for ColdStart {
    type Err = ParseColdStartError;

    fn from_str(text: &str) -> Result<Self, ParseColdStartError> {
        let (lasts, factor) = text.split_once(':').ok_or(ParseColdStartError)?;
        Ok(Self {
            lasts: lasts.parse().map_err(|_error| ParseColdStartError)?,
            factor: number(factor).ok_or(ParseColdStartError)?,
        })
    }
}

impl fmt::Display for ColdStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.lasts.0, self.factor)
    }
}

impl ColdStart {
    /// The factor at this age.
    pub(crate) fn factor_at(self, age: Duration) -> f64 {
        if age < self.lasts.duration() { self.factor } else { 1.0 }
    }
}

/// A number that a time can be multiplied by.
fn number(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (0.0..=MAX_NUMBER).contains(&number).then_some(number)
}

/// A draw of the normal distribution by the method of Box and Muller.
fn standard_normal<R: Rng>(random: &mut R) -> f64 {
    let radius: f64 = random.random();
    let angle: f64 = random.random();
    // The draw lies in [0, 1), and the logarithm needs (0, 1].
    (-2.0 * (1.0 - radius).ln()).sqrt() * (TAU * angle).cos()
}
