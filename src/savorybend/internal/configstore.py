"""Holds the configuration in force; its version never decreases."""

import collections.abc
import math

from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import metrics
from savorybend.internal import sentinels
from savorybend.internal import snapshot
from savorybend.internal import timers

NOT_CONFIGURED = sentinels.create(
    "NOT_CONFIGURED", "no configuration has reached this daemon yet"
)

Listener = collections.abc.Callable[[snapshot.Snapshot], None]

_log = logs.get()


class Store:
    """Holds the configuration in force and notifies subscribers of new ones."""

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._in_force: snapshot.Snapshot | sentinels.Absence = NOT_CONFIGURED
        self._confirmed_s = -math.inf
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
        """Seconds since the version in force was last known to be the newest.

        This is an upper bound: at an age of 10, every configuration that the
        platform accepted more than 10 seconds ago has been applied here. It is
        infinite if the version was never confirmed, directly or by a peer.
        """
        return self._clock.now_s() - self._confirmed_s

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each new configuration in force."""
        self._listeners.append(listener)

    def confirm(self, as_of_s: float) -> None:
        """Records that the version in force was the newest at a given time.

        Args:
            as_of_s: The time, in seconds on this daemon's clock. For a reply,
                this is when its request was sent, because the reply may have
                been delayed by the network.
        """
        self._confirmed_s = max(self._confirmed_s, as_of_s)

    def offer(self, version: int, text: bytes) -> bool:
        """Puts a configuration in force if its version is higher.

        Returns:
            Whether it came into force. An invalid configuration is logged and
            rejected, and the previous one stays in force.
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


def create_store(clock: timers.Clock) -> Store:
    """Returns a store with no configuration yet."""
    return Store(clock)
