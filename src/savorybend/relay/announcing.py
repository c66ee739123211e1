"""Applies the backend server's announcements and acknowledges them."""

import collections.abc
import typing

import structlog

from savorybend.relay import backend
from savorybend.relay import presence

# Below the 1 s after which the backend server stops waiting for the
# acknowledgement.
_STORE_TIMEOUT_S = 0.6

_log = structlog.get_logger()

Acknowledge = collections.abc.Callable[[], None]


class Parts(typing.NamedTuple):
    """Dependencies of `Announcing`.

    Attributes:
        server: This daemon's backend server.
        publisher: Writes its state to the store.
        start: Starts a coroutine on the event loop.
    """

    server: backend.BackendServer
    publisher: presence.Publisher
    start: collections.abc.Callable[[collections.abc.Coroutine], None]


class Announcing:
    """Acknowledges announcements once stored, or after a timeout."""

    def __init__(self, parts: Parts):
        self._parts = parts

    def on_announcement(
        self, announcement: backend.Announcement, acknowledge: Acknowledge
    ) -> None:
        """Handles an announcement of the backend server.

        Args:
            announcement: The announcement.
            acknowledge: Called once to acknowledge it, perhaps later.
        """
        self._parts.server.announce(announcement)
        self._acknowledge(acknowledge)

    def on_withdrawal(
        self, instance: str, born_ms: int, acknowledge: Acknowledge
    ) -> None:
        """Handles the backend server's withdrawal.

        Args:
            instance: ID of the backend server.
            born_ms: When it started, Unix time in milliseconds; 0 if unknown.
            acknowledge: Called once to acknowledge it, perhaps later.
        """
        self._parts.server.withdraw(instance, born_ms)
        self._acknowledge(acknowledge)

    def _acknowledge(self, acknowledge: Acknowledge) -> None:
        if self._parts.publisher.up_to_date:
            acknowledge()
            return
        self._parts.start(self._wait(acknowledge))

    async def _wait(self, acknowledge: Acknowledge) -> None:
        # All calls to the backend server pass through this daemon, so the
        # change is effective even before it is stored.
        if not await self._parts.publisher.wait(_STORE_TIMEOUT_S):
            _log.warning("acknowledged_unkept", state=self._parts.server.state)
        acknowledge()


def create_announcing(parts: Parts) -> Announcing:
    """Returns the handler to which the adapter passes announcements."""
    return Announcing(parts)
