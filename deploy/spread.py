#!/usr/bin/env python3
"""How long news took to reach all instances, by the log of a whole day.

Usage: fleetbench run SITE DAY --log all > LOG; deploy/spread.py LOG

For each place in the store's history that a document or the upstreams stood at, the time from the first instance that held it, or a later
one, to the middle, to nine of ten and to the last of those that were there. The same for instances and upstreams that were found dead.
"""

import re
import statistics
import sys
from collections import defaultdict

LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) \[.*?\] (.*)$")
PLACE = re.compile(r"(document_at|upstreams_at)=(\d+)")
FORCE = re.compile(r"store: document in force revision=\d+ at=(\d+)")
LISTED = re.compile(r"store: upstreams listed count=\d+ at=(\d+)")
DOWN = re.compile(r"peers: down instance=(\S+)")
DEAD = re.compile(r"flows: taken for dead upstream=(\S+)")


def read(path):
    """Yields the time, the instance and the text of each line."""
    with open(path, errors="replace") as log:
        for line in log:
            match = LINE.match(line)
            if match:
                yield float(match[1]), match[2], match[3]


def places(text):
    """What a line says of the places that its instance now stands at."""
    if match := FORCE.match(text):
        yield "document_at", int(match[1])
    elif match := LISTED.match(text):
        yield "upstreams_at", int(match[1])
    elif text.startswith("peers: learnt"):
        for kind, at in PLACE.findall(text):
            yield kind, int(at)


def spans(name, times):
    """Prints how long after the first the others came."""
    if len(times) < 2:
        return None
    times = sorted(times)
    first = times[0]
    at = lambda part: times[min(len(times) - 1, int(part * len(times)))] - first
    return name, first, len(times), at(0.5), at(0.9), times[-1] - first


def show(title, rows):
    rows = [row for row in rows if row]
    print(f"{title}: {len(rows)} pieces of news")
    for name, first, count, middle, most, last in rows[:40]:
        print(f"  {name:>24} from {first:8.3f} s, {count:4} instances: middle {middle:6.3f}, nine of ten {most:6.3f}, last {last:6.3f} s")
    if rows:
        columns = [statistics.median(row[index] for row in rows) for index in (3, 4, 5)]
        worst = max(row[5] for row in rows)
        print("  all, middle: {:.3f}, {:.3f}, {:.3f} s; worst last {:.3f} s".format(*columns, worst))


def main(path):
    held = defaultdict(lambda: defaultdict(int))
    reached = {"document_at": defaultdict(dict), "upstreams_at": defaultdict(dict)}
    down, dead = defaultdict(dict), defaultdict(dict)
    for time, node, text in read(path):
        for kind, at in places(text):
            if at > held[kind][node]:
                held[kind][node] = at
                reached[kind][at][node] = time
        if match := DOWN.match(text):
            down[match[1]].setdefault(node, time)
        if match := DEAD.match(text):
            dead[match[1]].setdefault(node, time)
    for kind, title in (("document_at", "documents"), ("upstreams_at", "upstreams")):
        show(title, [spans(str(at), by.values()) for at, by in sorted(reached[kind].items()) if len(by) > 3])
    show("instances found dead", [spans(name, by.values()) for name, by in down.items()])
    show("upstreams found dead", [spans(name, by.values()) for name, by in dead.items()])


if __name__ == "__main__":
    main(sys.argv[1])
