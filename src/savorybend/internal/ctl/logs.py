"""The commands about logs: many VMs' lines in one order, or one request's.

They read a folder of files as daemons wrote them to standard output, one file
or more for each, so they also work when no daemon is there to be asked.
"""

import collections.abc
import datetime
import pathlib
import re
import statistics
import typing

from savorybend.internal import errors

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# What a daemon believed so long before and after a request was decided on may
# have decided it.
_AROUND_S = 1.5
# Clocks that are closer than this can't be told apart: news takes a while.
_LEAST_SKEW_S = 0.25
_REQUEST = "request_id"
_STARTED = "daemon_started"
_CHANGED = "backend_server_changed"
_LEARNED = "daemon_learned"
# One that has just started learns what the others said long before.
_SETTLED_S = 3.0


class Line(typing.NamedTuple):
    """One line of a daemon's log.

    Attributes:
        time_s: Unix time by its VM's clock, in seconds.
        daemon: The daemon.
        event: What happened.
        fields: All fields, by name.
        text: The line as it was written.
    """

    time_s: float
    daemon: str
    event: str
    fields: dict[str, str]
    text: str


class Skew(typing.NamedTuple):
    """How far a VM's clock is ahead of the others'.

    Attributes:
        daemon: The daemon on that VM.
        ahead_s: In seconds; negative if it is behind.
        samples: How many pairs of lines say so.
    """

    daemon: str
    ahead_s: float
    samples: int


def merge(
    folder: str,
    say: collections.abc.Callable[[str], None],
    without_requests: bool,
) -> None:
    """Says all lines in the order of time, and how far clocks are apart.

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
    """Says a request's lines, and what was believed at that time.

    Returns:
        Whether there is a line about it. There is none about a request that
        its backend server answered in the first place, nor one beyond what a
        daemon logs in a second; `lines_left_out` is said then.

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
    asked = _asked(own)
    for line in _around(lines, own, asked):
        say(line.text)
    return True


def read(folder: str) -> list[Line]:
    """Returns the lines of all files in a folder, in the order of time.

    Raises:
        errors.InvalidSettingError: There are none.
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
    """Returns a line; None if no daemon wrote it."""
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
    """Returns the clocks that are visibly apart from the others'.

    What a daemon says of its backend server reaches the others within
    milliseconds, so the two lines' times are as far apart as the clocks.
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
            # It may have been in that state before, too.
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


def _asked(own: list[Line]) -> set[str]:
    """Returns the daemons that had to do with a request."""
    found = {line.daemon for line in own}
    for line in own:
        found.update(line.fields.get("asked", "").split(","))
    return found - {""}


def _around(
    lines: list[Line], own: list[Line], asked: set[str]
) -> collections.abc.Iterator[Line]:
    """Yields a request's lines, and what those daemons changed around it."""
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
