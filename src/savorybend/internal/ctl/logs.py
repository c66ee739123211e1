"""The log commands: merge the logs of many VMs, or show one request's lines.

They read a folder of files with the daemons' standard output, one or more
files for each daemon, so they also work when no daemon is running.
"""

import collections.abc
import datetime
import pathlib
import re
import statistics
import typing

from savorybend.internal import errors

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# State changes within this time before and after a request's lines may have
# affected the decision.
_AROUND_S = 1.5
# Smaller skews can't be distinguished from the propagation delay of updates.
_LEAST_SKEW_S = 0.25
_REQUEST = "request_id"
_STARTED = "daemon_started"
_CHANGED = "backend_server_changed"
_LEARNED = "daemon_learned"
# A daemon that has just started receives updates that are much older.
_SETTLED_S = 3.0


class Line(typing.NamedTuple):
    """One line of a daemon's log.

    Attributes:
        time_s: Unix time by the VM's clock, in seconds.
        daemon: The daemon's name.
        event: The event's name.
        fields: All fields by name, without quotes.
        text: The unparsed line.
    """

    time_s: float
    daemon: str
    event: str
    fields: dict[str, str]
    text: str


class Skew(typing.NamedTuple):
    """The skew of a VM's clock relative to the other VMs' clocks.

    Attributes:
        daemon: The daemon on the VM.
        ahead_s: Median skew in seconds; negative if the clock is behind.
        samples: Number of pairs of lines that it was computed from.
    """

    daemon: str
    ahead_s: float
    samples: int


def merge(
    folder: str,
    say: collections.abc.Callable[[str], None],
    without_requests: bool,
) -> None:
    """Prints the clock skews and all lines in order of time.

    Raises:
        errors.InvalidSettingError: The folder holds no lines.
    """
    lines = read(folder)
    for skew in skews(lines):
        say(_describe(skew))
    for line in lines:
        if not (without_requests and _REQUEST in line.fields):
            say(line.text)


def show_request(
    folder: str, request_id: str, say: collections.abc.Callable[[str], None]
) -> bool:
    """Prints a request's lines and the state changes around them.

    Returns:
        Whether there is a line about the request. There is none if the first
        backend server answered it, or if the daemon exceeded its limit of
        lines per second; it logs `lines_left_out` in that case.

    Raises:
        errors.InvalidSettingError: The folder holds no lines.
    """
    lines = read(folder)
    own = [line for line in lines if line.fields.get(_REQUEST) == request_id]
    if not own:
        left_out = [line for line in lines if line.event == "lines_left_out"]
        say(
            f"no line about {request_id}: its backend server answered it, it "
            f"never came, or it is among the lines that were left out "
            f"({len(left_out)} times)"
        )
        return False
    for skew in skews(lines):
        say(_describe(skew))
    asked = _involved_daemons(own)
    for line in _around(lines, own, asked):
        say(line.text)
    return True


def read(folder: str) -> list[Line]:
    """Returns the lines of all files in a folder, in order of time.

    Raises:
        errors.InvalidSettingError: The folder holds no lines.
    """
    found = []
    for path in sorted(pathlib.Path(folder).glob("*")):
        if path.is_file():
            text = path.read_text(errors="replace")
            found += filter(None, map(parse, text.splitlines()))
    if not found:
        raise errors.InvalidSettingError(
            f"{folder!r} holds no lines of daemons: name the folder with the "
            "files that took their standard output"
        )
    return sorted(found, key=lambda line: line.time_s)


def parse(text: str) -> Line | None:
    """Returns the parsed line; None if it is not a daemon's log line."""
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    if not {"timestamp", "event", "daemon"} <= fields.keys():
        return None
    try:
        time = datetime.datetime.fromisoformat(fields["timestamp"])
    except ValueError:
        return None
    return Line(
        time.timestamp(), fields["daemon"], fields["event"], fields, text
    )


def skews(lines: list[Line]) -> list[Skew]:
    """Returns the clock skews that exceed the propagation delay of updates.

    A change of a backend server's state reaches the other daemons within
    milliseconds, so the difference between the times of the two log lines
    approximates the clock skew.
    """
    ahead: dict[str, list[float]] = {}
    changed: dict[tuple[str, str, str], list[float]] = {}
    for line in lines:
        if line.event == _CHANGED:
            key = _state_of(line.daemon, line)
            changed.setdefault(key, []).append(line.time_s)
    started: dict[str, float] = {}
    for line in lines:
        if line.event == _STARTED:
            started[line.daemon] = line.time_s
        if line.event != _LEARNED or _has_just_started(line, started):
            continue
        peer = line.fields.get("peer", "")
        key = _state_of(peer, line)
        if line.fields.get("source") == peer and key in changed:
            # The state may have occurred several times; use the nearest.
            apart = [changed_s - line.time_s for changed_s in changed[key]]
            ahead.setdefault(peer, []).append(min(apart, key=abs))
    found = [
        Skew(daemon, statistics.median(samples), len(samples))
        for daemon, samples in sorted(ahead.items())
    ]
    return [skew for skew in found if abs(skew.ahead_s) >= _LEAST_SKEW_S]


def _state_of(daemon: str, line: Line) -> tuple[str, str, str]:
    fields = line.fields
    return daemon, fields.get("instance", ""), fields.get("state", "")


def _has_just_started(line: Line, started: dict[str, float]) -> bool:
    since_s = started.get(line.daemon)
    return since_s is not None and line.time_s - since_s < _SETTLED_S


def _involved_daemons(own: list[Line]) -> set[str]:
    """Returns the daemons that logged a request or were asked to execute it."""
    found = {line.daemon for line in own}
    for line in own:
        found.update(line.fields.get("asked", "").split(","))
    return found - {""}


def _around(
    lines: list[Line], own: list[Line], asked: set[str]
) -> collections.abc.Iterator[Line]:
    """Yields a request's lines and the involved daemons' lines near them."""
    first_s = own[0].time_s - _AROUND_S
    last_s = own[-1].time_s + _AROUND_S
    for line in lines:
        if not first_s <= line.time_s <= last_s:
            continue
        about_them = line.daemon in asked or line.fields.get("peer") in asked
        if line in own or (about_them and _REQUEST not in line.fields):
            yield line


def _describe(skew: Skew) -> str:
    direction = "ahead of" if skew.ahead_s > 0 else "behind"
    return (
        f"# the clock beside {skew.daemon} is about {abs(skew.ahead_s):.1f} s "
        f"{direction} the others ({skew.samples} pairs of lines)"
    )
