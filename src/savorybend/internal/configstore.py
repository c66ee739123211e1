"""The configuration in force, whose version only rises."""

import asyncio
import collections.abc

from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import metrics
from savorybend.internal import platform
from savorybend.internal import sentinels
from savorybend.internal import snapshot
from savorybend.internal import timers

NOT_CONFIGURED = sentinels.create(
    "NOT_CONFIGURED", "no configuration has reached this daemon yet"
)

_WATCH_S = 30.0
_RETRY_S = 0.5

Listener = collections.abc.Callable[[snapshot.Snapshot], None]

_log = logs.get()


class Store:
    """Holds the configuration in force and tells subscribers of a new one."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._in_force: snapshot.Snapshot | sentinels.Absence = NOT_CONFIGURED
        self._confirmed_s = clock.now_s()
        self._listeners: list[Listener] = []

    @property
    def in_force(self) -> snapshot.Snapshot | sentinels.Absence:
        """The configuration in force, or `NOT_CONFIGURED`."""
        return self._in_force

    @property
    def version(self) -> int:
        """The version in force, or 0."""
        return self._in_force.version if self._in_force else 0

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was last confirmed as newest."""
        return self._clock.now_s() - self._confirmed_s

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each configuration that comes into force."""
        self._listeners.append(listener)

    def confirm(self) -> None:
        """Notes that the version in force is the newest now."""
        self._confirmed_s = self._clock.now_s()

    def offer(self, version: int, text: bytes) -> bool:
        """Puts a configuration in force if its version is higher.

        Returns:
            Whether it came into force. One that breaks a rule does not: the
            daemon goes on with the one it has, and the log says why.
        """
        if version <= self.version:
            return False
        try:
            offered = snapshot.create_snapshot(version, text)
        except errors.InvalidConfigurationError as error:
            _log.error(
                "configuration_refused", version=version, error=str(error)
            )
            return False
        self._in_force = offered
        metrics.CONFIGURATION_VERSION.set(version)
        _log.info(
            "configuration_in_force", version=version, digest=offered.digest
        )
        for listener in self._listeners:
            listener(offered)
        return True


class Watcher:
    """Follows the configuration on the platform."""

    def __init__(self, store: Store, source: platform.Platform):
        self._store = store
        self._source = source

    async def run(self) -> None:
        """Offers each new version to the store, until cancelled."""
        while True:
            try:
                await self._follow()
            except errors.ConflictError:
                continue
            except errors.PlatformUnavailableError as error:
                _log.warning("platform_unavailable", error=str(error))
                await asyncio.sleep(_RETRY_S)

    async def _follow(self) -> None:
        listing = await self._source.list(platform.CONFIGURATION_KIND)
        while True:
            self._take(listing)
            listing = await self._source.watch(
                platform.CONFIGURATION_KIND, listing.version, _WATCH_S
            )

    def _take(self, listing: platform.Listing) -> None:
        for found in listing.objects:
            if found.name == platform.CONFIGURATION_NAME:
                self._store.offer(found.version, found.value.encode())
        self._store.confirm()


def create_store(clock: timers.Clock) -> Store:
    """Returns a store with no configuration yet."""
    return Store(clock)


def create_watcher(store: Store, source: platform.Platform) -> Watcher:
    """Returns a watcher that feeds `store` from the platform."""
    return Watcher(store, source)
