"""Decides when a connection to a peer has gone silent.

A connection is watched only while messages wait for the peer's receipt, so an
idle fleet exchanges no heartbeats.
"""

import dataclasses

from savorybend.internal import charts

# A peer sends receipts after at most `links.RECEIPT_AFTER_S`; three times that
# is not yet silence, but worth a question.
PROBE_AFTER_S = 0.3
# The question is answered from the peer's drain loop, ahead of any work on
# calls. A false alarm costs one handshake and loses nothing, while each tenth
# of a second is taken from the callers' deadlines.
SILENT_AFTER_S = 0.7
# A frozen peer keeps each attempt in its backlog, so attempts become rarer.
_BACKOFF = 1.5
_LONGEST_WAIT_S = 3.0
# Beyond this the callers' usual deadlines have long passed, and what is kept
# for the peer only fills the memory.
GIVE_UP_AFTER_S = 60.0

_CHART = "link"


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Nothing is to be done yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """The peer is to be asked for a receipt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reopen:
    """The connection is to be replaced, and the peer asked over the new one."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """What waits for the peer is to be abandoned."""


Action = Wait | Probe | Reopen | GiveUp

_WAIT = Wait()


class LinkMonitor:
    """Follows whether a peer's receipts make progress."""

    __slots__ = ("_chart", "_oldest", "_patience_s", "_since_s", "_stalled_s")
    __slots__ += ("_state",)

    def __init__(self):
        self._chart = charts.load(_CHART)
        self._state = self._chart.initial
        self._oldest = 0
        self._since_s = 0.0
        self._stalled_s = 0.0
        self._patience_s = PROBE_AFTER_S

    @property
    def state(self) -> str:
        """The state; see charts/link.json."""
        return self._state

    def answered(self, now_s: float) -> None:
        """Takes note that the peer answered over the connection in use."""
        self._settle(now_s)

    def decide(self, now_s: float, oldest: int) -> Action:
        """Returns what to do now.

        Args:
            now_s: The time, in seconds.
            oldest: Number of the oldest message without a receipt; 0 if
                there is none.
        """
        if oldest != self._oldest or oldest == 0:
            self._oldest = oldest
            self._stalled_s = now_s
            self._settle(now_s)
            return _WAIT
        if now_s - self._stalled_s >= GIVE_UP_AFTER_S:
            return GiveUp()
        if now_s - self._since_s < self._patience_s:
            return _WAIT
        return self._stall(now_s)

    def _stall(self, now_s: float) -> Action:
        self._state = self._chart.next_state(self._state, "stall")
        self._since_s = now_s
        if self._state == "probing":
            self._patience_s = SILENT_AFTER_S
            return Probe()
        longer_s = self._patience_s * _BACKOFF
        self._patience_s = min(longer_s, _LONGEST_WAIT_S)
        return Reopen()

    def _settle(self, now_s: float) -> None:
        self._state = self._chart.next_state(self._state, "progress")
        self._since_s = now_s
        self._patience_s = PROBE_AFTER_S


def create_link_monitor() -> LinkMonitor:
    """Returns the watch of one link."""
    return LinkMonitor()
