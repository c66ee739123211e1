"""Restores, updates and removes this daemon's record in the store."""

import asyncio
import collections.abc
import typing

import structlog

from savorybend.internal import errors
from savorybend.internal import sentinels
from savorybend.relay import backend
from savorybend.relay import inquiry
from savorybend.relay import ownstatement
from savorybend.relay import presence
from savorybend.relay import suspects

_RESTORE_TIMEOUT_S = 1.0
# Delay of the first record if the backend server doesn't announce itself.
_FIRST_RECORD_DELAY_S = 2.0
_REMOVE_TIMEOUT_S = 0.3

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """Dependencies of `OwnRecord`.

    Attributes:
        own: This daemon's statement.
        server: This daemon's backend server.
        publisher: Writes the record.
        suspects: Requests that crash backend servers.
        inquiry: What the other daemons have said since this one's start.
        start: Starts a coroutine on the event loop.
    """

    own: ownstatement.OwnStatement
    server: backend.BackendServer
    publisher: presence.Publisher
    suspects: suspects.Suspects
    inquiry: inquiry.Inquiry
    start: collections.abc.Callable[[collections.abc.Coroutine], None]


class OwnRecord:
    """The stored record of this daemon and its backend server."""

    def __init__(self, parts: Parts):
        self._parts = parts

    async def take_over(self) -> None:
        """Restores the state from an earlier start, then starts publishing."""
        parts = self._parts
        try:
            async with asyncio.timeout(_RESTORE_TIMEOUT_S):
                record = await parts.publisher.restore()
            if not isinstance(record, sentinels.Absence):
                parts.own.note_earlier_boot(record.statement.boot)
                for report in record.suspects:
                    parts.suspects.hear(report, "store")
                parts.server.remember(presence.stored_state(record))
        except (errors.SavorybendError, TimeoutError) as error:
            _log.warning("record_not_restored", error=repr(error))
        parts.start(parts.publisher.run())
        if parts.server.can_restore:
            # The store may have come back from a copy in which a backend server
            # that has left is still ready.
            await parts.inquiry.wait()
            parts.server.restore()
        if parts.server.current is None:
            # Its announcement usually arrives soon; waiting for it saves a
            # second write.
            await asyncio.sleep(_FIRST_RECORD_DELAY_S)
        self.publish()

    def publish(self) -> None:
        """Publishes a record of the current state."""
        server = self._parts.server
        current = server.current
        self._parts.publisher.publish(
            presence.Record(
                self._parts.own.statement,
                server.state,
                current.born_ms if current else 0,
                current.sequence if current else 0,
                self._parts.suspects.stored,
            )
        )

    async def remove(self) -> None:
        """Removes the record; gives up if the store doesn't respond in time."""
        try:
            async with asyncio.timeout(_REMOVE_TIMEOUT_S):
                await self._parts.publisher.remove()
        except TimeoutError:
            _log.warning(
                "record_not_removed", error="store did not respond in time"
            )


def create_own_record(parts: Parts) -> OwnRecord:
    """Returns an own record; `take_over` restores it."""
    return OwnRecord(parts)
