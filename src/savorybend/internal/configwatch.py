"""Watches the platform's configuration from a few daemons of the fleet."""

import asyncio
import random
import typing

from savorybend.internal import configstore
from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import neighbours
from savorybend.internal import platform
from savorybend.internal import timers

# Per data centre: one may be paused while another is being replaced.
_WATCHERS = 3
# Further daemons per data centre that watch if the configuration hasn't been
# confirmed for `_SILENT_AGE_S`; bounded, so that not every daemon calls the
# platform during its outage.
_SUBSTITUTES = 3
_SILENT_AGE_S = 10.0
# A new daemon receives the configuration from its peers, if it has any, within
# this time.
_GRACE_S = 1.0
_IDLE_S = 0.5
# Short, because a silent watch is detected only by its timeout, and a change
# must be in force everywhere within 3 s after it was accepted.
_WAIT_S = 1.0
_MIN_TIMEOUT_S = 1.5
_MAX_TIMEOUT_S = 12.0
_SALT = "configuration watcher"


class Parts(typing.NamedTuple):
    """Dependencies of a watcher."""

    store: configstore.Store
    source: platform.Platform
    directory: members.Directory
    clock: timers.Clock
    rng: random.Random


_log = logs.get()


class Watcher:
    """Watches the platform while this daemon is one of the watchers."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._started_s = parts.clock.now_s()
        self._timeout_s = _MIN_TIMEOUT_S

    @property
    def should_watch(self) -> bool:
        """Whether this daemon should watch the platform now."""
        store = self._parts.store
        place = rank(self._parts.directory)
        if place < _WATCHERS:
            return True
        uptime_s = self._parts.clock.now_s() - self._started_s
        if store.age_s == float("inf"):
            return uptime_s > _GRACE_S
        return place < _WATCHERS + _SUBSTITUTES and store.age_s > _SILENT_AGE_S

    async def run(self) -> None:
        """Offers each new version to the store, until cancelled."""
        while True:
            if not self.should_watch:
                await asyncio.sleep(_IDLE_S)
                continue
            try:
                await self._follow()
            except errors.ConflictError:
                continue
            except errors.PlatformUnavailableError as error:
                _log.warning("platform_unavailable", error=str(error))
                await self._back_off()

    async def _follow(self) -> None:
        asked_s = self._parts.clock.now_s()
        listing = await self._parts.source.list(platform.CONFIGURATION_KIND)
        self._take(listing, asked_s)
        while self.should_watch:
            asked_s = self._parts.clock.now_s()
            listing = await self._parts.source.watch(
                platform.CONFIGURATION_KIND,
                listing.version,
                _WAIT_S,
                self._timeout_s,
            )
            self._take(listing, asked_s)
            self._timeout_s = _MIN_TIMEOUT_S

    def _take(self, listing: platform.Listing, asked_s: float) -> None:
        store = self._parts.store
        refused = False
        for found in listing.objects:
            if found.name == platform.CONFIGURATION_NAME:
                store.offer(found.version, found.value.encode())
                refused = found.version > store.version
        # If the newest version is invalid, the one in force isn't the newest.
        if not refused:
            store.confirm(asked_s)

    async def _back_off(self) -> None:
        # A longer timeout for a slow platform; the next attempt also replaces
        # a silent connection.
        self._timeout_s = min(2 * self._timeout_s, _MAX_TIMEOUT_S)
        share = self._timeout_s / _MAX_TIMEOUT_S
        await asyncio.sleep(share * self._parts.rng.uniform(0.5, 1.5))


def rank(directory: members.Directory) -> int:
    """Returns this daemon's rank, from 0, among its data centre's daemons."""
    own = directory.own
    score = neighbours.score(_SALT, own.name)
    return sum(
        record.data_centre == own.data_centre
        and neighbours.score(_SALT, record.name) < score
        for record in directory.all()
    )


def create_watcher(parts: Parts) -> Watcher:
    """Returns a watcher that feeds the store from the platform."""
    return Watcher(parts)
