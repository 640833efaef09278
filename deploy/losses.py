"""Where the loss of each standard day lies: prices, and requests that were late or not served, by second and by what went on then.

    python3 deploy/losses.py --bench PROGRAM --sites FILE... [--days trouble-1,...] [--jobs 2] [--min 5]

Plays each day once, without its processor time, and reads the report. A pair of seconds in which at least `--min` requests were late
or failed gets a line: how many, and which disruptions and planned works were under way or had ended up to two seconds before.
Its requests are shared out evenly over the kinds of disruption named, so that each day ends with a sum by kind. Nothing of this is
in the product.
"""

import argparse
import collections
import concurrent.futures
import json
import pathlib
import subprocess
import tempfile

DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"
# How long a disruption may still be felt after its end, in seconds: a client gives most requests up after two.
AFTER = 2.0
# What takes most instances away explains what is lost then, whatever else goes on.
INSTANCES_GONE = ("closing", "herd_kill")
# How long a window of the report is, in seconds.
WINDOW = 2.0


def play(bench, site, day):
    """A day's report, or `None` where the site has no such day."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [bench, "run", site, day, "--no-cpu", "--report", str(report), "--why", "where the loss lies"]
        subprocess.run(command, capture_output=True, text=True, check=False)
        return json.loads(report.read_text()) if report.exists() else None


def under_way(events, begin):
    """The kinds of disruption felt in the window that begins then; planned works only where there is nothing else."""
    felt = [event for event in events if event["at_s"] < begin + WINDOW and event["to_s"] + AFTER > begin]
    unplanned = [event for event in felt if not event["planned"]]
    gone = [event for event in unplanned if event["kind"].startswith(INSTANCES_GONE)]
    return sorted({event["kind"] for event in gone or unplanned or felt}) or ["nothing"]


def windows(report, least):
    """Each window with at least so many requests late or failed: its begin, both counts, and the kinds of disruption."""
    for window in report["windows"]:
        lost = window["late"] + window["failed"] + window["refused"]
        if lost >= least:
            begin = float(window["name"])
            yield begin, window["late"], window["failed"] + window["refused"], under_way(report["events"], begin)


def show(site, day, report, least):
    name = pathlib.Path(site).stem
    prices = sorted(report["prices"], key=lambda price: -price[2])
    dearest = ", ".join(f"{what} {cost:.4f}" for what, _, cost in prices[:3])
    whole = report["all"]
    print(f"{name} {day}: worth {report['G']:.3f}; prices {sum(cost for _, _, cost in prices):.4f} ({dearest})")
    print(f"  requests {whole['n']}: late {whole['late']}, not served {whole['failed'] + whole['refused']}")
    by_kind = collections.Counter()
    for begin, late, failed, kinds in windows(report, least):
        print(f"  {begin:5.0f} s  late {late:5}  not served {failed:5}  {', '.join(kinds)}")
        for kind in kinds:
            by_kind[kind] += (late + failed) / len(kinds)
    for kind, lost in by_kind.most_common():
        print(f"  by kind: {lost:7.0f}  {kind}")
    for reason, count, steps in report["unserved_by"]:
        print(f"  not served, {reason}: {count}; the first: {' / '.join(steps)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", nargs="+", required=True)
    parser.add_argument("--days", default=DAYS)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--min", type=int, default=5)
    options = parser.parse_args()
    chosen = [(site, day) for site in options.sites for day in options.days.split(",")]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        reports = pool.map(lambda entry: play(options.bench, *entry), chosen)
        for (site, day), report in zip(chosen, reports):
            if report is None:
                print(f"{pathlib.Path(site).stem} {day}: not played")
                continue
            show(site, day, report, options.min)


if __name__ == "__main__":
    main()
