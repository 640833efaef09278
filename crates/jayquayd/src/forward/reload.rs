//! Reloads the settings while the process runs, on a signal and periodically.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use super::settings;
use super::settings::Settings;

/// Interval at which the file is read without a signal. This costs three system calls.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings again on each signal and every two seconds, and applies them if valid.
pub(crate) async fn run(path: PathBuf, mut signal: Signal, settings: watch::Sender<Settings>) {
    let mut last = read(&path);
    loop {
        let signalled = tokio::select! {
            _ = signal.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let text = read(&path);
        if text.is_none() || (text == last && !signalled) {
            continue;
        }
        let has_changed = text != last;
        last = text;
        apply(last.as_deref().unwrap_or_default(), has_changed, &settings);
    }
}

/// Reads the file. If that fails, the settings stay as they are.
fn read(path: &Path) -> Option<String> {
    fs::read_to_string(path)
        .inspect_err(|error| log::warn!("settings: cannot read {}: {error}", path.display()))
        .ok()
}

fn apply(text: &str, has_changed: bool, settings: &watch::Sender<Settings>) {
    if !has_changed {
        log::info!("settings: reloaded, unchanged");
        return;
    }
    let new = match settings::parse(text) {
        Ok(new) => new,
        Err(error) => {
            log::error!("settings: rejected, the previous ones stay in force: {error}");
            return;
        }
    };
    let fixed_at_start = |held: &Settings| (held.name.clone(), held.zone.clone(), held.listen);
    let needs_restart = fixed_at_start(&settings.borrow()) != fixed_at_start(&new);
    if needs_restart {
        log::warn!("settings: changes of name, zone and addresses take effect after a restart");
    }
    log::info!("settings: reloaded, store {}, {} seeds", new.store, new.seeds.len());
    settings.send_replace(new);
}
