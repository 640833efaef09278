//! Settings that change while the process runs, with a signal or without.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use super::settings;
use super::settings::Settings;

/// How often the file is looked at without a signal. A look costs three system calls.
const LOOK: Duration = Duration::from_secs(2);

/// Reads the settings again on each signal and every other second, and puts what is valid in force.
pub(crate) async fn run(path: PathBuf, mut signal: Signal, settings: watch::Sender<Settings>) {
    let mut last = read(&path);
    loop {
        let told = tokio::select! {
            _ = signal.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        let text = read(&path);
        if text.is_none() || (text == last && !told) {
            continue;
        }
        let has_changed = text != last;
        last = text;
        take(last.as_deref().unwrap_or_default(), has_changed, &settings);
    }
}

/// The file's text. One that can't be read leaves the settings as they are.
fn read(path: &Path) -> Option<String> {
    fs::read_to_string(path)
        .inspect_err(|error| log::warn!("settings: {}: {error}", path.display()))
        .ok()
}

fn take(text: &str, has_changed: bool, settings: &watch::Sender<Settings>) {
    if !has_changed {
        log::info!("settings: read again, unchanged");
        return;
    }
    let new = match settings::parse(text) {
        Ok(new) => new,
        Err(error) => {
            log::error!("settings: not taken, the old ones stay in force: {error}");
            return;
        }
    };
    let is_bound = |held: &Settings| (held.name.clone(), held.zone.clone(), held.listen);
    let needs_restart = is_bound(&settings.borrow()) != is_bound(&new);
    if needs_restart {
        log::warn!("settings: name, zone and addresses change with the next start");
    }
    log::info!("settings: taken anew, store {}, {} seeds", new.store, new.seeds.len());
    settings.send_replace(new);
}
