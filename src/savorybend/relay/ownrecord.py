"""This daemon's record on the store: taken over, kept true, removed."""

import asyncio
import collections.abc
import typing

import structlog

from savorybend.internal import errors
from savorybend.internal import sentinels
from savorybend.relay import backend
from savorybend.relay import ownstatement
from savorybend.relay import presence

_RESTORE_S = 1.0
# A daemon whose backend server is silent says after so long that it is there.
_FIRST_RECORD_S = 2.0
_REMOVE_S = 0.3

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """What a record is made of.

    Attributes:
        own: What this daemon says of itself.
        server: The backend server beside it.
        publisher: Writes the record.
        start: Begins work on the loop.
    """

    own: ownstatement.OwnStatement
    server: backend.BackendServer
    publisher: presence.Publisher
    start: collections.abc.Callable[[collections.abc.Coroutine], None]


class OwnRecord:
    """What the store keeps of this daemon and of its backend server."""

    def __init__(self, parts: Parts):
        self._parts = parts

    async def take_over(self) -> None:
        """Begins where an earlier start of this daemon ended."""
        parts = self._parts
        try:
            async with asyncio.timeout(_RESTORE_S):
                record = await parts.publisher.restore()
            if not isinstance(record, sentinels.Absence):
                parts.own.note_earlier_boot(record.statement.boot)
                parts.server.restore(presence.stored_state(record))
        except (errors.SavorybendError, TimeoutError) as error:
            _log.warning("record_not_restored", error=repr(error))
        parts.start(parts.publisher.run())
        if parts.server.current is None:
            # Its announcement mostly comes soon, and would be a second write.
            await asyncio.sleep(_FIRST_RECORD_S)
        self.publish()

    def publish(self) -> None:
        """Has the record written as things stand now."""
        server = self._parts.server
        current = server.current
        self._parts.publisher.publish(
            presence.Record(
                self._parts.own.statement,
                server.state,
                current.born_ms if current else 0,
                current.sequence if current else 0,
            )
        )

    async def remove(self) -> None:
        """Removes the record, if the store answers soon."""
        try:
            async with asyncio.timeout(_REMOVE_S):
                await self._parts.publisher.remove()
        except TimeoutError:
            _log.warning("record_not_removed", error="no answer in time")


def create_own_record(parts: Parts) -> OwnRecord:
    """Returns a record that isn't taken over yet."""
    return OwnRecord(parts)
