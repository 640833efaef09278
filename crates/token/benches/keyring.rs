//! Cost of sealing and opening a token.

use std::time::Duration;

use divan::Bencher;
use divan::black_box;
use token::Claims;
use token::Keyring;
use token::Secret;
use units::FlowId;
use units::Incarnation;
use units::RequestSeq;
use units::Time;

const NOW: Time = Time(1_764_700_000_000_000);

fn main() {
    divan::main();
}

fn keyring() -> Keyring {
    let current: Secret = "a secret of at least 32 characters".parse().expect("a valid secret");
    let previous: Secret = "another secret, of 32 characters!".parse().expect("a valid secret");
    Keyring::new(&current, &[previous], Duration::from_hours(24))
}

fn claims(pinned: bool) -> Claims {
    let upstream = "target-1".parse().expect("a valid name");
    Claims {
        service: "availability".parse().expect("a valid name"),
        owner: "entry-1".parse().expect("a valid name"),
        incarnation: Incarnation(1_764_600_000_000_000),
        flow: FlowId(1 << 60),
        floor: RequestSeq(0),
        pinned: pinned.then_some(upstream),
        issued: NOW,
    }
}

#[divan::bench(args = [false, true])]
fn open(bencher: Bencher<'_, '_>, pinned: bool) {
    let ring = keyring();
    let sealed = ring.seal(&claims(pinned));
    bencher.bench(|| ring.open(black_box(&sealed), NOW));
}

#[divan::bench(args = [false, true])]
fn seal(bencher: Bencher<'_, '_>, pinned: bool) {
    let ring = keyring();
    let claims = claims(pinned);
    bencher.bench(|| ring.seal(black_box(&claims)));
}

#[divan::bench]
fn refuse_forged(bencher: Bencher<'_, '_>) {
    let ring = keyring();
    let mut sealed = ring.seal(&claims(false));
    sealed.0[20] ^= 1;
    bencher.bench(|| ring.open(black_box(&sealed), NOW));
}
