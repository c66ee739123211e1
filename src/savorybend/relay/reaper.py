"""Removes the records of daemons that are gone for good.

A machine that is taken away without a word leaves its record on the store, and
its part of every client account's rate is lent to nobody. The lender hears from
each daemon that is reached, so it knows who is missing. A daemon that was only
cut off writes its record again as soon as it finds it gone.
"""

import collections.abc
import typing

import structlog

from savorybend.internal import errors
from savorybend.internal import sentinels
from savorybend.internal import timers
from savorybend.relay import store

CHECK_INTERVAL_S = 1.0
# Longer than daemons take to restart, and than most cuts last.
_MISSING_S = 12.0

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """What the removal is made of.

    Attributes:
        clock: The time.
        names: Returns the other daemons that have records.
        reporting: Returns those that reported lately; None while this daemon
            isn't the lender.
        unreachable: Returns whether a daemon can't be reached.
        client: The store.
        start: Begins work on the loop.
    """

    clock: timers.Clock
    names: collections.abc.Callable[[], list[str]]
    reporting: collections.abc.Callable[[], set[str] | None]
    unreachable: collections.abc.Callable[[str], bool]
    client: store.Store
    start: collections.abc.Callable[[collections.abc.Coroutine], None]


class Reaper:
    """Who has been missing since when."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._since_s: dict[str, float] = {}

    def check(self) -> None:
        """Looks who is missing; called once in `LOOK_EVERY_S`."""
        reporting = self._parts.reporting()
        if reporting is None:
            self._since_s.clear()
            return
        now_s = self._parts.clock.now_s()
        missing = set(self._parts.names()) - reporting
        for name in list(self._since_s):
            if name not in missing:
                del self._since_s[name]
        for name in missing:
            since_s = self._since_s.setdefault(name, now_s)
            long = now_s - since_s > _MISSING_S
            if long and self._parts.unreachable(name):
                # Once in a while, should the store not answer.
                self._since_s[name] = now_s
                self._parts.start(self._remove(name))

    async def _remove(self, name: str) -> None:
        try:
            found = await self._parts.client.get(store.DAEMONS, name)
            if isinstance(found, sentinels.Absence):
                return
            await self._parts.client.delete(store.DAEMONS, name, found.revision)
        except errors.SavorybendError as error:
            _log.warning("absentee_not_removed", peer=name, error=str(error))
            return
        _log.info("absentee_removed", peer=name, missing_s=_MISSING_S)


def create_reaper(parts: Parts) -> Reaper:
    """Returns a removal that has seen nobody missing yet."""
    return Reaper(parts)
