"""A daemon's object on the platform, written at start and removed at the end.

Nothing is written in between, so that the number of platform calls doesn't
grow with a daemon's uptime; the daemons detect failures among themselves.
"""

import asyncio
import random

import msgspec

from savorybend.internal import budget
from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import platform

# Daemons send numbers to each other as integers of 64 bits.
_MAX_NUMBER = (1 << 63) - 1

_log = logs.get()


class Announcer:
    """Writes, lists and removes daemons' objects on the platform."""

    def __init__(
        self,
        directory: members.Directory,
        store: platform.Platform,
        rng: random.Random,
    ):
        self._directory = directory
        self._store = store
        self._backoff = budget.create_backoff(rng)

    async def announce(self) -> list[members.Record]:
        """Writes this daemon's object and returns the other daemons' records.

        Retries until it succeeds. The write precedes the listing, so that of
        two daemons that start at the same time at least one learns of the
        other.
        """
        while True:
            try:
                await self._write()
                return await self._list()
            except (
                errors.PlatformUnavailableError,
                errors.ConflictError,
            ) as error:
                _log.warning("announcement_not_written", error=str(error))
                await asyncio.sleep(self._backoff.fail())

    async def withdraw(self) -> None:
        """Removes this daemon's object, or logs that the platform failed."""
        try:
            await self.remove(self._directory.own)
        except errors.PlatformUnavailableError as error:
            _log.warning("announcement_left_behind", error=str(error))

    async def remove(self, record: members.Record) -> None:
        """Removes a daemon's object unless it is of another incarnation.

        Raises:
            errors.PlatformUnavailableError: There was no usable answer.
        """
        kind = platform.DAEMON_KIND
        found = await self._store.get(kind, record.name)
        known = decode(found) if found else None
        if known is None or known.incarnation != record.incarnation:
            return
        try:
            await self._store.delete(kind, record.name, found.version)
        except errors.ConflictError:
            # A later start has replaced the object in the meantime.
            return

    async def _write(self) -> None:
        own = self._directory.own
        kind = platform.DAEMON_KIND
        found = await self._store.get(kind, own.name)
        known = decode(found) if found else None
        if known is not None and known.incarnation >= own.incarnation:
            # An earlier write whose reply was lost, or a later start under
            # this name.
            return
        version = found.version if found else platform.ABSENT
        value = msgspec.json.encode(own).decode()
        await self._store.put(kind, own.name, value, version)

    async def _list(self) -> list[members.Record]:
        listing = await self._store.list(platform.DAEMON_KIND)
        own = self._directory.own.name
        found = (decode(item) for item in listing.objects)
        return [r for r in found if r is not None and r.name != own]


def decode(found: platform.Object) -> members.Record | None:
    """Returns the record in a daemon's object, or None if it is invalid."""
    try:
        record = msgspec.json.decode(found.value, type=members.Record)
        _check(found.name, record)
    except (ValueError, RecursionError) as error:
        _log.warning(
            "announcement_unreadable", object=found.name, error=str(error)
        )
        return None
    return record


def _check(name: str, record: members.Record) -> None:
    """Raises ValueError if a record isn't of a name, or can't be sent."""
    if record.name != name:
        raise ValueError("record is of a daemon of another name")
    if not (
        0 <= record.incarnation <= _MAX_NUMBER
        and 0 <= record.revision <= _MAX_NUMBER
    ):
        raise ValueError(f"a number isn't from 0 to {_MAX_NUMBER}")


def create_announcer(
    directory: members.Directory,
    store: platform.Platform,
    rng: random.Random,
) -> Announcer:
    """Returns the announcer of the daemon that owns `directory`."""
    return Announcer(directory, store, rng)
