"""Detects connections to a peer that have gone silent.

A connection is monitored only while messages await the peer's receipt, so that
an idle fleet exchanges no heartbeats.
"""

import dataclasses

from savorybend.internal import charts

# A peer sends receipts after at most `links.RECEIPT_AFTER_S`. After three times
# that the connection isn't yet silent, but a receipt is requested.
PROBE_AFTER_S = 0.3
# The peer answers the request in its drain loop, before any work on calls. A
# false positive costs one handshake and loses nothing, while each tenth of a
# second counts against the callers' deadlines.
SILENT_AFTER_S = 0.7
# The backlog of a frozen peer keeps each attempt, so their rate decreases.
_BACKOFF = 1.5
_LONGEST_WAIT_S = 3.0
# By then the callers' usual deadlines have long passed, and messages queued for
# the peer only use memory.
GIVE_UP_AFTER_S = 60.0

_CHART = "link"


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """No action is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Request a receipt from the peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reopen:
    """Replace the connection and request a receipt over the new one."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Abandon the messages queued for the peer."""


Action = Wait | Probe | Reopen | GiveUp

_WAIT = Wait()


class LinkMonitor:
    """Monitors whether a peer's receipts make progress."""

    __slots__ = ("_chart", "_oldest", "_timeout_s", "_since_s", "_stalled_s")
    __slots__ += ("_state",)

    def __init__(self):
        self._chart = charts.load(_CHART)
        self._state = self._chart.initial
        self._oldest = 0
        self._since_s = 0.0
        self._stalled_s = 0.0
        self._timeout_s = PROBE_AFTER_S

    @property
    def state(self) -> str:
        """The current state of charts/link.json."""
        return self._state

    def answered(self, now_s: float) -> None:
        """Records that the peer answered over the current connection."""
        self._settle(now_s)

    def decide(self, now_s: float, oldest: int) -> Action:
        """Returns the action that is due.

        Args:
            now_s: The current time, in seconds.
            oldest: The number of the oldest message without a receipt; 0 if
                there is none.
        """
        if oldest != self._oldest or oldest == 0:
            self._oldest = oldest
            self._stalled_s = now_s
            self._settle(now_s)
            return _WAIT
        if now_s - self._stalled_s >= GIVE_UP_AFTER_S:
            return GiveUp()
        if now_s - self._since_s < self._timeout_s:
            return _WAIT
        return self._stall(now_s)

    def _stall(self, now_s: float) -> Action:
        self._state = self._chart.next_state(self._state, "stall")
        self._since_s = now_s
        if self._state == "probing":
            self._timeout_s = SILENT_AFTER_S
            return Probe()
        longer_s = self._timeout_s * _BACKOFF
        self._timeout_s = min(longer_s, _LONGEST_WAIT_S)
        return Reopen()

    def _settle(self, now_s: float) -> None:
        self._state = self._chart.next_state(self._state, "progress")
        self._since_s = now_s
        self._timeout_s = PROBE_AFTER_S


def create_link_monitor() -> LinkMonitor:
    """Returns the monitor of one link."""
    return LinkMonitor()
