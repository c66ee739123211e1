"""Keeps the directory of daemons up to date with the platform's objects."""

import asyncio

import msgspec

from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import platform

_WATCH_S = 30.0
_RETRY_S = 0.5

_log = logs.get()


class Membership:
    """Announces this daemon and follows the others."""

    def __init__(self, directory: members.Directory, store: platform.Platform):
        self._directory = directory
        self._store = store

    async def run(self) -> None:
        """Announces this daemon, then follows the others until cancelled."""
        await self._announce()
        while True:
            try:
                await self._follow()
            except errors.ConflictError:
                continue
            except errors.PlatformUnavailableError as error:
                _log.warning("platform_unavailable", error=str(error))
                await asyncio.sleep(_RETRY_S)

    async def leave(self) -> None:
        """Removes this daemon's announcement."""
        own = self._directory.own
        try:
            await self._store.delete(platform.DAEMON_KIND, own.name)
        except errors.PlatformUnavailableError as error:
            _log.warning("announcement_left_behind", error=str(error))

    async def announce_change(self, record: members.Record) -> None:
        """Tells the fleet of a new revision of this daemon's record."""
        self._directory.put(record)
        try:
            await self._write(record)
        except errors.PlatformUnavailableError as error:
            _log.warning("announcement_not_written", error=str(error))

    async def _announce(self) -> None:
        while True:
            try:
                await self._write(self._directory.own)
                return
            except errors.PlatformUnavailableError as error:
                _log.warning("announcement_not_written", error=str(error))
                await asyncio.sleep(_RETRY_S)

    async def _write(self, record: members.Record) -> None:
        value = msgspec.json.encode(record).decode()
        kind = platform.DAEMON_KIND
        found = await self._store.get(kind, record.name)
        version = found.version if found else platform.ABSENT
        try:
            await self._store.put(kind, record.name, value, version)
        except errors.ConflictError as error:
            raise errors.PlatformUnavailableError(str(error)) from error

    async def _follow(self) -> None:
        listing = await self._store.list(platform.DAEMON_KIND)
        self._take(listing)
        self._forget_unlisted(listing)
        while True:
            listing = await self._store.watch(
                platform.DAEMON_KIND, listing.version, _WATCH_S
            )
            self._take(listing)
            for name in listing.deleted:
                known = self._directory.get(name)
                if known:
                    self._directory.remove(name, known.incarnation)

    def _take(self, listing: platform.Listing) -> None:
        for found in listing.objects:
            try:
                record = msgspec.json.decode(found.value, type=members.Record)
            except msgspec.MsgspecError as error:
                _log.warning(
                    "announcement_unreadable",
                    object=found.name,
                    error=str(error),
                )
                continue
            self._directory.put(record)

    def _forget_unlisted(self, listing: platform.Listing) -> None:
        listed = {found.name for found in listing.objects}
        for record in self._directory.all():
            if record.name not in listed:
                self._directory.remove(record.name, record.incarnation)


def create_membership(
    directory: members.Directory, store: platform.Platform
) -> Membership:
    """Returns the membership of the daemon that owns `directory`."""
    return Membership(directory, store)
