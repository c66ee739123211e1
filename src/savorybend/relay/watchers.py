"""Decides which daemons of a data centre watch the store for the others.

If every daemon watched the store, each change would wake the whole fleet, and
the calls would grow with the square of its size. So the first few daemons of
each data centre, by rendezvous hash, watch; the others follow them. Daemons
that see the fleet differently may choose differently: one watcher too many
costs a few calls, and a daemon that hears from none watches by itself.

A watch that waits can't tell a store without changes from one whose answers
are lost. So the first watcher that works, the primary one, asks often, and all
tell how old their last read is.
"""

import collections.abc
import enum
import typing

import structlog

from savorybend.internal import neighbours
from savorybend.internal import timers

# Two, so that the loss of one of them goes unnoticed.
_WATCHERS = 2
# Daemons of a data centre that may try in vain at the same time. Further ones
# try rarely, so that a store that is down isn't called by all.
_MAX_FAILING = 4
# Connections that a daemon keeps in search of watchers that work.
_MAX_FOLLOWED = 8
# A daemon that should watch begins within this time, or others pass it over.
_TAKEOVER_S = 1.0
# Without a word from any watcher for this long, a daemon watches by itself.
_SILENCE_S = 1.2
# Longest wait of the primary watcher for an answer of the store. The store is
# called this often by each data centre; a lost answer is found this late.
PRIMARY_WAIT_S = 2.0
# Watchers don't count as such while all reads that they tell of are older than
# this: the wait, a slow answer, and the time between two words.
_MAX_READ_AGE_S = PRIMARY_WAIT_S + 1.0 + _SILENCE_S
# Mean time between the attempts of a daemon beyond `_MAX_FAILING`.
_RARE_ATTEMPT_S = 10.0
_SALT = "store watcher"

_log = structlog.get_logger()


class State(enum.IntEnum):
    """Whether a daemon watches the store."""

    IDLE = 0
    WATCHING = 1
    FAILING = 2


def parse_state(value: int) -> State:
    """Returns a state that a daemon told; `IDLE` for one of a later version."""
    try:
        return State(value)
    except ValueError:
        _log.warning("watch_state_unknown", value=value)
        return State.IDLE


class Selection(typing.NamedTuple):
    """The result of a decision.

    Attributes:
        watches: Whether this daemon should watch the store.
        followed: Names of the daemons that it should keep connections to, the
            preferred ones first.
        primary: Whether no watcher that works is preferred to this daemon.
    """

    watches: bool
    followed: tuple[str, ...]
    primary: bool = False


class Parts(typing.NamedTuple):
    """Dependencies of `Watchers`.

    Attributes:
        own: This daemon's name.
        nearby: Returns the names of the other daemons of its data centre.
        unreachable: Returns whether the connection to a daemon fails.
        clock: The source of time.
        random_fraction: Returns a random number from 0 to 1.
    """

    own: str
    nearby: collections.abc.Callable[[], collections.abc.Iterable[str]]
    unreachable: collections.abc.Callable[[str], bool]
    clock: timers.Clock
    random_fraction: collections.abc.Callable[[], float]


class _Heard(typing.NamedTuple):
    """What a daemon last said of itself, and when."""

    state: State
    heard_s: float


class Watchers:
    """Selects the watchers of this daemon's data centre."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._heard: dict[str, _Heard] = {}
        self._expected_since_s: dict[str, float] = {}
        self._scores: dict[str, int] = {}
        self._watcher_heard_s = parts.clock.now_s()
        # When the newest read that a watcher told of was made.
        self._read_s = parts.clock.now_s()
        self._next_attempt_s: float | None = None

    @property
    def served(self) -> bool:
        """Whether another daemon watched the store a moment ago."""
        now_s = self._parts.clock.now_s()
        if now_s - self._watcher_heard_s > _SILENCE_S:
            return False
        # Those that are selected begin first.
        return self.read_age_s <= _MAX_READ_AGE_S + _SILENCE_S

    @property
    def read_age_s(self) -> float:
        """Age of the newest read that a watcher told of, in seconds."""
        return self._parts.clock.now_s() - self._read_s

    def note(self, daemon: str, state: State, read_age_s: float) -> None:
        """Records what a daemon says of itself.

        Args:
            daemon: The daemon's name.
            state: Whether it watches the store.
            read_age_s: Age of its last read of the configuration, in seconds.
        """
        now_s = self._parts.clock.now_s()
        self._heard[daemon] = _Heard(state, now_s)
        if state is State.WATCHING:
            self._watcher_heard_s = now_s
            self._read_s = max(self._read_s, now_s - max(0.0, read_age_s))
            self._next_attempt_s = None

    def select(self, own_state: State) -> Selection:
        """Returns what this daemon should do now; call it often.

        Args:
            own_state: Whether this daemon watches the store. One that fails to
                goes on trying, and follows others meanwhile.
        """
        followed: list[str] = []
        usable = 0
        failing = 0
        watches = False
        primary = False
        for name in self._ranked():
            if name == self._parts.own:
                watches = failing < _MAX_FAILING
                primary = usable == 0
                if watches and own_state is not State.FAILING:
                    return Selection(True, tuple(followed), primary)
                failing += 1
                continue
            followed.append(name)
            if self._is_usable(name):
                usable += 1
            elif self._is_failing(name):
                failing += 1
            if usable == _WATCHERS or len(followed) == _MAX_FOLLOWED:
                break
        watches = watches or self._watches_alone(failing)
        return Selection(watches, tuple(followed), primary or usable == 0)

    def _ranked(self) -> list[str]:
        names = [self._parts.own, *self._parts.nearby()]
        return sorted(names, key=lambda name: (self._score(name), name))

    def _score(self, name: str) -> int:
        found = self._scores.get(name)
        if found is None:
            found = self._scores[name] = neighbours.score(_SALT, name)
        return found

    def _is_usable(self, name: str) -> bool:
        now_s = self._parts.clock.now_s()
        heard = self._heard.get(name)
        if self._parts.unreachable(name):
            self._expected_since_s.pop(name, None)
            return False
        if heard is not None and heard.state is State.WATCHING:
            self._expected_since_s.pop(name, None)
            return self.read_age_s <= _MAX_READ_AGE_S
        if heard is not None and heard.state is State.FAILING:
            return False
        since_s = self._expected_since_s.setdefault(name, now_s)
        return now_s - since_s < _TAKEOVER_S

    def _is_failing(self, name: str) -> bool:
        heard = self._heard.get(name)
        return heard is not None and heard.state is State.FAILING

    def _watches_alone(self, failing: int) -> bool:
        if self.served:
            return False
        now_s = self._parts.clock.now_s()
        if failing < _MAX_FAILING:
            return True
        if self._next_attempt_s is None:
            self._next_attempt_s = now_s + self._rare_delay_s()
        if now_s < self._next_attempt_s:
            return False
        if now_s > self._next_attempt_s + _TAKEOVER_S:
            self._next_attempt_s = now_s + self._rare_delay_s()
        return True

    def _rare_delay_s(self) -> float:
        return 2 * _RARE_ATTEMPT_S * self._parts.random_fraction()


def create_watchers(parts: Parts) -> Watchers:
    """Returns a selection that has heard of no watcher yet."""
    return Watchers(parts)
