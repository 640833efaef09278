//! Parsing, display and intervals of rates.

use std::time::Duration;

use units::Rate;
use units::RateError;

#[test]
fn display_and_parse_round_trip() {
    for (text, shown) in [("4", "4/s"), ("0.5/s", "0.5/s"), ("20.0", "20/s"), ("0", "0/s")] {
        let rate: Rate = text.parse().unwrap();
        assert_eq!(rate.to_string(), shown);
        assert_eq!(shown.parse::<Rate>().unwrap(), rate);
    }
}

#[test]
fn interval_is_the_inverse_of_the_rate() {
    let interval = |text: &str| text.parse::<Rate>().unwrap().interval();
    assert_eq!(interval("4"), Some(Duration::from_millis(250)));
    assert_eq!(interval("0.5"), Some(Duration::from_secs(2)));
    assert_eq!(interval("0"), None);
}

#[test]
fn invalid_rates_are_rejected_with_the_cause() {
    assert!(matches!("fast".parse::<Rate>(), Err(RateError::NotANumber(_))));
    for number in [-1.0, f64::NAN, f64::INFINITY, 1e12] {
        assert!(
            matches!(Rate::try_from(number), Err(RateError::OutOfRange(_))),
            "{number}"
        );
    }
}
