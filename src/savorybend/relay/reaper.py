"""Removes the records of daemons that have disappeared.

A VM that is removed without a clean shutdown leaves its daemon's record in the
store. The daemon still counts as part of the fleet, and its share of every
client account's rate goes unused. The lender receives reports from all
reachable daemons, so it detects which are missing and deletes their records. A
daemon that was only partitioned rewrites its record when it sees it deleted.

A data centre of which no daemon reports may be cut off, and go on lending its
share. Its daemons keep their records: without them, the others' share would
grow by a share that is still in use.
"""

import collections.abc
import typing

import structlog

from savorybend.internal import errors
from savorybend.internal import sentinels
from savorybend.internal import timers
from savorybend.relay import store

CHECK_INTERVAL_S = 1.0
# Longer than a daemon's restart and than most network partitions.
_REMOVAL_DELAY_S = 12.0

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """Dependencies of `Reaper`.

    Attributes:
        clock: The source of time.
        names: Returns the names of the other daemons that have records.
        reporting: Returns the names of the daemons that reported recently, or
            None while this daemon isn't the lender.
        unreachable: Returns whether a daemon can't be reached.
        data_centre: Returns a daemon's data centre; None if it isn't known, or
            if the daemon or its backend server has begun to leave.
        client: The store.
        start: Starts a coroutine on the event loop.
    """

    clock: timers.Clock
    names: collections.abc.Callable[[], collections.abc.Iterable[str]]
    reporting: collections.abc.Callable[[], set[str] | None]
    unreachable: collections.abc.Callable[[str], bool]
    data_centre: collections.abc.Callable[[str], str | None]
    client: store.Store
    start: collections.abc.Callable[[collections.abc.Coroutine], None]


class Reaper:
    """Tracks missing daemons and deletes their records after a delay."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._missing_since_s: dict[str, float] = {}

    def check(self) -> None:
        """Deletes the records of daemons that have been missing too long.

        Call it every `CHECK_INTERVAL_S` seconds.
        """
        reporting = self._parts.reporting()
        if reporting is None:
            self._missing_since_s.clear()
            return
        now_s = self._parts.clock.now_s()
        missing = set(self._parts.names()) - reporting
        missing -= self._cut_off(missing, reporting)
        for name in list(self._missing_since_s):
            if name not in missing:
                del self._missing_since_s[name]
        for name in missing:
            since_s = self._missing_since_s.setdefault(name, now_s)
            expired = now_s - since_s > _REMOVAL_DELAY_S
            if expired and self._parts.unreachable(name):
                # Restarts the delay, to retry later if the removal fails.
                self._missing_since_s[name] = now_s
                self._parts.start(self._remove(name))

    def _cut_off(self, missing: set[str], reporting: set[str]) -> set[str]:
        """Returns the missing daemons whose data centre may be cut off."""
        reached = {self._parts.data_centre(name) for name in reporting}
        cut_off = {self._parts.data_centre(name) for name in missing} - reached
        cut_off.discard(None)
        return {
            name for name in missing if self._parts.data_centre(name) in cut_off
        }

    async def _remove(self, name: str) -> None:
        try:
            stored_object = await self._parts.client.get(store.DAEMONS, name)
            if isinstance(stored_object, sentinels.Absence):
                return
            await self._parts.client.delete(
                store.DAEMONS, name, stored_object.revision
            )
        except errors.SavorybendError as error:
            _log.warning("absentee_not_removed", peer=name, error=str(error))
            return
        _log.info("absentee_removed", peer=name, missing_s=_REMOVAL_DELAY_S)


def create_reaper(parts: Parts) -> Reaper:
    """Returns a reaper that has found no daemon missing yet."""
    return Reaper(parts)
