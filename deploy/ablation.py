"""What each mechanism of the flow mode is worth: each is switched off by itself in a copy of the sources, and days are played.

    python3 deploy/ablation.py --bench PROGRAM --sites FILE... [--seeds 0,11,12] [--only NAME,...] [--workers 2]

Seed 0 stands for a day's own. A day is played without its processor time, so that it mostly repeats. Prints one row a mechanism
and, for each site, three figures: the mean worth of the days with trouble, of the quiet day, and of `deploy/days/kinds-*.toml`,
where one kind of trouble follows the other, less those of the sources as they are. The first row gives, after +-, how much a mean
moves from seed to seed (its standard deviation). Nothing of this is in the product.
"""

import argparse
import concurrent.futures
import pathlib
import queue
import re
import shutil
import statistics
import subprocess
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The groups of days that are judged apart. A day is one of the site's own, or one of a file in the repository.
DAYS = {
    "trouble": ["trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"],
    "quiet": ["quiet-1"],
    "kinds": ["deploy/days/kinds-1.toml", "deploy/days/kinds-2.toml"],
}

FLOW = "crates/flow/src/"
DAEMON = "crates/jayquayd/src/forward/"

# Each mechanism: its name, and what is replaced by what, in which file.
MECHANISMS = [
    ("own zone dearer elsewhere", [(FLOW + "place.rs", "const OTHER_ZONE_FACTOR: f64 = 4.0;", "const OTHER_ZONE_FACTOR: f64 = 1.0;")]),
    ("spill by pressure", [(FLOW + "place.rs", "const PRESSURE_POWER: i32 = 6;", "const PRESSURE_POWER: i32 = 0;")]),
    ("response times", [(FLOW + "place.rs", "cost *= peers.slowness(load).powi(2);", "")]),
    ("response times squared", [(FLOW + "place.rs", "cost *= peers.slowness(load).powi(2);", "cost *= peers.slowness(load);")]),
    ("cold factor", [(FLOW + "place.rs", "const COLD_FACTOR: f64 = 1.5;", "const COLD_FACTOR: f64 = 1.0;")]),
    ("flows beside requests", [(FLOW + "place.rs", "const FLOW_WEIGHT: f64 = 0.5;", "const FLOW_WEIGHT: f64 = 0.0;")]),
    ("jitter", [(FLOW + "place.rs", "const JITTER: f64 = 0.1;", "const JITTER: f64 = 0.0;")]),
    ("other upstream for a copy", [(FLOW + "core/opening.rs", "if seen.len() > 1 {", "if seen.len() > 100_000 {")]),
    ("suspects avoided", [(FLOW + "health.rs", "self.stalled > 0 && now < self.retry_at", "false && now < self.retry_at")]),
    ("dead upstream's flows reset", [(FLOW + "core/silence.rs", "if flow.stage == Stage::Opening {\n                continue;", "if true || flow.stage == Stage::Opening {\n                continue;")]),
    ("single stalled flow", [(FLOW + "core/silence.rs", "const STALLED_RETRANSMISSIONS: u32 = 2;", "const STALLED_RETRANSMISSIONS: u32 = 200;")]),
    ("a zone's silence together", [(FLOW + "core/silence.rs", "const SILENT_IN_ZONE: u32 = 2;", "const SILENT_IN_ZONE: u32 = 2_000;")]),
    ("reports of silence", [(DAEMON + "silence.rs", "let reports = core.take_reports(shared.now());", "let mut reports = core.take_reports(shared.now());\n    reports.clear();")]),
    ("words of silence", [(FLOW + "core/status_updates.rs", "if update.round <= health.silence_round {\n            return None;", "if true || update.round <= health.silence_round {\n            return None;")]),
    ("copies beside flows as signs", [(FLOW + "health.rs", "self.retransmissions.min(self.stalled * 2)", "self.stalled")]),
    ("answers missed by a single flow", [(FLOW + "core/silence.rs", "const MISSED_ANSWERS: f64 = 3.0;", "const MISSED_ANSWERS: f64 = 0.0;")]),
    ("reckoning with loss", [(FLOW + "loss.rs", "(losses / (PRIOR_ATTEMPTS + attempts)).min(MAX_LOSS)", "(losses / (PRIOR_ATTEMPTS + attempts)).min(0.0)")]),
    ("grace for lapsed entries", [(FLOW + "core/opening.rs", "const LAPSED_GRACE: Duration = Duration::from_secs(2);", "const LAPSED_GRACE: Duration = Duration::ZERO;")]),
    ("gathering of changes", [(DAEMON + "role.rs", "const BATCH_DELAY: Duration = Duration::from_secs(1);", "const BATCH_DELAY: Duration = Duration::from_millis(1);")]),
    ("one watcher a zone", [(DAEMON + "role.rs", "const MIN_ZONES_FOR_ONE_WATCHER: usize = 3;", "const MIN_ZONES_FOR_ONE_WATCHER: usize = 300;")]),
    ("the system's probes of connections", [("crates/platform/src/transport.rs", "            .tcp_keepalive(KEEPALIVE_INTERVAL)\n            .tcp_keepalive_interval(KEEPALIVE_INTERVAL)\n            .tcp_keepalive_retries(KEEPALIVE_RETRIES)\n", "")]),
    ("checks each second", [(DAEMON + "check.rs", "(first == Some(&members.me().name)).then(|| CheckRequest::first(round))", "(first == Some(&members.me().name) && round == 0).then(|| CheckRequest::first(round))")]),
    ("ejection of failing upstreams", [(FLOW + "outcome.rs", "const DETECTION_THRESHOLD: f64 = 13.8;", "const DETECTION_THRESHOLD: f64 = 1e300;")]),
    ("refused openings as silence", [(FLOW + "core/outliers.rs", "            health.record_retransmission(flow, now);\n", "            let _off = (&health, &flow);\n")]),
    ("least credited response time", [(FLOW + "typical.rs", "self.response.unwrap_or_default() / 2.0", "0.0")]),
]


def apply(folder, changes):
    for file, old, new in changes:
        path = folder / file
        text = path.read_text()
        assert text.count(old) == 1, f"{file}: {old!r} is there {text.count(old)} times"
        path.write_text(text.replace(old, new))


def play(bench, folder, site, day, seed):
    """The worth of one day, and whether a rule was broken. A site may lack a day, which gives no worth."""
    name = pathlib.Path(day).stem
    command = [bench, "run", site, day, "--no-cpu", "--why", "ablation"]
    if seed != "0":
        command += ["--seed", seed]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    found = re.search(rf"^{name}\s+\S+\s+\S+\s+([0-9.]+)", done.stdout, re.M)
    return (float(found[1]) if found else None), "BROKEN" in done.stdout


def measure(options, folder, changes):
    """For each site and group of days the mean worth of each seed, and the number of broken days."""
    originals = {file: (folder / file).read_text() for file, _, _ in changes}
    apply(folder, changes)
    built = subprocess.run([options.bench, "build"], cwd=folder, capture_output=True, text=True, check=False)
    assert "built in" in built.stdout, built.stdout + built.stderr
    rows = {}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for site in options.sites:
            for group, days in DAYS.items():
                rows[site, group] = measure_group(pool, options, folder, site, days)
    for file, text in originals.items():
        (folder / file).write_text(text)
    return rows


def measure_group(pool, options, folder, site, days):
    seeds = options.seeds.split(",")
    games = {seed: [pool.submit(play, options.bench, folder, site, day, seed) for day in days] for seed in seeds}
    results = {seed: [game.result() for game in played] for seed, played in games.items()}
    worths = {seed: [worth for worth, _ in played if worth is not None] for seed, played in results.items()}
    means = [statistics.mean(worths[seed]) for seed in seeds if worths[seed]]
    return means, sum(broken for played in results.values() for _, broken in played)


def cell(rows, base, site, group):
    """One figure of the table: a difference to the sources as they are, or the figure of these themselves."""
    means, broken = rows[site, group]
    if not means:
        return f"{group} none"
    mark = f" ({broken} broken)" if broken else ""
    mean = statistics.mean(means)
    if rows is base:
        scatter = statistics.stdev(means) if len(means) > 1 else 0.0
        return f"{group} {mean:.4f} +-{scatter:.4f}{mark}"
    return f"{group} {mean - statistics.mean(base[site, group][0]):+.4f}{mark}"


def keep_journal(folder):
    """Brings home what the bench has written down of the plays, as it was written."""
    for path in (folder / "journal").rglob("*"):
        home = ROOT / path.relative_to(folder)
        if path.is_file() and not home.exists():
            home.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, home)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", nargs="+", required=True)
    parser.add_argument("--seeds", default="0,11,12")
    parser.add_argument("--only", default="")
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    wanted = options.only.split(",") if options.only else [name for name, _ in MECHANISMS]
    chosen = [("all on", [])] + [entry for entry in MECHANISMS if entry[0] in wanted]
    folders = queue.Queue()
    with tempfile.TemporaryDirectory() as top:
        for number in range(options.workers):
            folder = pathlib.Path(top) / f"copy-{number}"
            shutil.copytree(ROOT, folder, ignore=shutil.ignore_patterns("debug", "tmp"))
            folders.put(folder)

        def one(entry):
            folder = folders.get()
            try:
                return entry[0], measure(options, folder, entry[1])
            finally:
                keep_journal(folder)
                folders.put(folder)

        base = None
        with concurrent.futures.ThreadPoolExecutor(options.workers) as pool:
            for name, rows in pool.map(one, chosen):
                base = base or rows
                cells = []
                for site in options.sites:
                    groups = " ".join(cell(rows, base, site, group) for group in DAYS)
                    cells.append(f"{pathlib.Path(site).stem}: {groups}")
                print(f"{name:36} " + "  ".join(cells), flush=True)


if __name__ == "__main__":
    main()
