"""Tables of a played day: what became of requests, by kind, second and reason.

Reads the report of a day and what all machines logged while it was played:

    fleetbench run SITE DAY --log all --report REPORT > LOG
    python -m bench.daytable REPORT LOG

Prints Markdown. A request is one that a caller sent; those with a dot in their
ID are calls of a running request.
"""

import argparse
import collections
import collections.abc
import json
import pathlib
import re
import statistics
import typing

_WINDOW_S = 2
_LINE = re.compile(
    r"^\s*(\d+\.\d+) \S+ timestamp=\S+ level=\w+ event=(\w+) (.*)"
)
_FIELD = re.compile(r"(\w+)=(\S*)")
_REFUSED = "call_refused"
_FAILED = "call_failed"
_TURNED_AWAY = "call_turned_away"
_EVENTS = (_REFUSED, _FAILED, _TURNED_AWAY)
# Where a request is refused, by the reason in its line; others are mostly not
# owed.
_PLACES = {
    "pressure": "entry",
    "overloaded": "queue",
    "too-late": "queue",
    "backend-server-shed": "server",
    "backend-server-limit": "queue",
    "daemon-unreachable": "link",
}


class Line(typing.NamedTuple):
    """A line about a call that wasn't served.

    Attributes:
        at_s: When, in seconds of the day.
        event: The event.
        reason: Why.
        depth: Number of calls above it; 0 for a caller's request.
        share: Share of such calls that was admitted; None if not told.
    """

    at_s: float
    event: str
    reason: str
    depth: int
    share: float | None


def read(text: str) -> collections.abc.Iterator[Line]:
    """Yields the lines about calls that weren't served."""
    for raw in text.splitlines():
        found = _LINE.match(raw)
        if found is None or found[2] not in _EVENTS:
            continue
        fields = dict(_FIELD.findall(found[3]))
        share = fields.get("part_admitted")
        yield Line(
            float(found[1]),
            found[2],
            fields.get("reason", ""),
            fields.get("request_id", "").count("."),
            None if share is None else float(share),
        )


def _row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _table(
    head: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> str:
    lines = [_row(*head), _row(*["---"] * len(head))]
    return "\n".join([*lines, *(_row(*row) for row in rows)])


def _shares(found: dict) -> list[str]:
    """Returns the shares of what is owed: in time, late, refused, failed."""
    owed = max(1, found["n"] - found["not_owed"])
    names = ("in_aim", "late", "refused", "failed")
    return [f"{found[name] / owed:.3f}" for name in names]


def by_kind(report: dict) -> str:
    """Returns a table by kind of request."""
    return _table(
        ["kind", "owed", "in time", "late", "refused", "failed"],
        (
            [one["name"], one["n"] - one["not_owed"], *_shares(one)]
            for one in report["classes"]
        ),
    )


def by_window(report: dict, lines: list[Line]) -> str:
    """Returns a table by second, with the places of refusals."""
    places: dict[int, collections.Counter[str]] = {}
    shares: dict[int, list[float]] = {}
    for line in lines:
        window = int(line.at_s // _WINDOW_S) * _WINDOW_S
        counts = places.setdefault(window, collections.Counter())
        counts[_place(line)] += 1
        if line.share is not None:
            shares.setdefault(window, []).append(line.share)
    columns = ["entry", "queue", "server", "link", "calls", "failed here"]
    rows = []
    for one in report["windows"]:
        window = int(one["name"])
        counts = places.get(window, collections.Counter())
        told = shares.get(window)
        rows.append(
            [
                window,
                one["n"] - one["not_owed"],
                *_shares(one),
                *(counts[column] for column in columns),
                f"{statistics.median(told):.2f}" if told else "",
            ]
        )
    head = ["from s", "owed", "in time", "late", "refused", "failed"]
    return _table([*head, *columns, "share admitted"], rows)


def _place(line: Line) -> str:
    if line.event == _FAILED:
        return "failed here"
    if line.depth:
        return "calls"
    return _PLACES.get(line.reason, "other")


def by_reason(lines: list[Line]) -> str:
    """Returns a table of the reasons, for requests and for their calls."""
    requests: collections.Counter[tuple[str, str]] = collections.Counter()
    inner: collections.Counter[tuple[str, str]] = collections.Counter()
    for line in lines:
        counts = inner if line.depth else requests
        counts[line.event, line.reason] += 1
    return _table(
        ["event", "reason", "requests", "their calls"],
        (
            [*key, requests[key], inner[key]]
            for key in sorted({*requests, *inner})
        ),
    )


def by_service(report: dict) -> str:
    """Returns a table of the work of each service."""
    return _table(
        ["service", "arrivals", "refused by servers", "run in vain", "repeats"],
        (
            [
                one["name"],
                one["arrivals"],
                one["not_run"],
                f"{one['ran_badly']} "
                f"({one['ran_badly'] / max(1, one['arrivals']):.3f})",
                one["again"],
            ]
            for one in report["services"]
        ),
    )


def main() -> None:
    """Prints the tables of a day."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("report", type=pathlib.Path)
    parser.add_argument("log", type=pathlib.Path)
    options = parser.parse_args()
    report = json.loads(options.report.read_text())
    lines = list(read(options.log.read_text(errors="replace")))
    print(by_kind(report))
    print()
    print(by_window(report, lines))
    print()
    print(by_reason(lines))
    print()
    print(by_service(report))
    ends = sorted(report["ends"].items(), key=lambda one: -one[1])
    print("\nEnds: " + ", ".join(f"{end} {count}" for end, count in ends))


if __name__ == "__main__":
    main()
