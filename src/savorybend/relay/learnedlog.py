"""When and from whom each daemon's statement was learned.

A start of the whole fleet teaches each daemon of each other one. Beyond a few a
second they are logged together, so that the lines grow with the fleet and not
with its square; all are on the page of the ready address.
"""

import collections
import collections.abc
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import frames

_MAX_LINES_PER_S = 10
# Names in the line about all others.
_MAX_NAMES = 20

_log = structlog.get_logger()


class Learned(typing.NamedTuple):
    """A statement and how it became known.

    Attributes:
        statement: A daemon's statement.
        source: Where it came from: a daemon's name, or the store.
        at_s: When it was learned, in seconds of the clock.
    """

    statement: frames.Statement
    source: str
    at_s: float


class LearnedLog:
    """Logs what is learned, and keeps the newest of each daemon."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._newest: dict[str, Learned] = {}
        self._allowed = _MAX_LINES_PER_S
        self._unlogged: list[Learned] = []

    def note(self, statement: frames.Statement, source: str) -> None:
        """Notes a statement that is newer than all before."""
        learned = Learned(statement, source, self._clock.now_s())
        self._newest[statement.daemon] = learned
        if self._allowed <= 0:
            self._unlogged.append(learned)
            return
        self._allowed -= 1
        _log.info(
            "daemon_learned",
            peer=statement.daemon,
            service=statement.service,
            state=statement.state,
            instance=statement.instance,
            boot=statement.boot,
            serial=statement.serial,
            source=source,
        )

    def forget(self, daemon: str) -> None:
        """Forgets a daemon that was removed."""
        self._newest.pop(daemon, None)

    def start_interval(self) -> None:
        """Starts the next one-second interval; logs what is left together."""
        self._allowed = _MAX_LINES_PER_S
        unlogged, self._unlogged = self._unlogged, []
        if not unlogged:
            return
        names = sorted({one.statement.daemon for one in unlogged})
        sources = collections.Counter(one.source for one in unlogged)
        _log.info(
            "daemons_learned",
            statements=len(unlogged),
            daemons=len(names),
            peers=",".join(names[:_MAX_NAMES]),
            sources=",".join(
                f"{source}:{count}"
                for source, count in sources.most_common(_MAX_NAMES)
            ),
        )

    def lines(self) -> collections.abc.Iterator[str]:
        """Yields a line for each daemon, in order of name."""
        now_s = self._clock.now_s()
        for name, learned in sorted(self._newest.items()):
            statement = learned.statement
            yield (
                f"daemon={name} service={statement.service} "
                f"state={statement.state} instance={statement.instance} "
                f"boot={statement.boot} serial={statement.serial} "
                f"source={learned.source} "
                f"learned_s_ago={now_s - learned.at_s:.3f}"
            )


def create_learned_log(clock: timers.Clock) -> LearnedLog:
    """Returns a log that knows of no daemon."""
    return LearnedLog(clock)
