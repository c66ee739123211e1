"""Removes the platform objects of daemons that died without withdrawing."""

import asyncio
import random

from savorybend.internal import announcing
from savorybend.internal import budget
from savorybend.internal import configwatch
from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import roster as rosters

# Deletions are conditional on the object's version, so that a concurrent or
# paused sweeper can't remove the object of a later start.
_SWEEPERS_PER_DATA_CENTRE = 3

_log = logs.get()


class Sweeper:
    """Removes a dead daemon's object when its roster entry expires."""

    def __init__(
        self,
        roster: rosters.Roster,
        directory: members.Directory,
        announcer: announcing.Announcer,
        rng: random.Random,
    ):
        self._directory = directory
        self._announcer = announcer
        self._backoff = budget.create_backoff(rng)
        self._forgotten: asyncio.Queue[members.Record] = asyncio.Queue()
        roster.subscribe_forgotten(self._on_forgotten)

    async def run(self) -> None:
        """Removes objects until cancelled, with retries."""
        while True:
            record = await self._forgotten.get()
            while not await self._removed(record):
                await asyncio.sleep(self._backoff.fail())
            self._backoff.reset()

    def _on_forgotten(self, record: members.Record) -> None:
        if configwatch.rank(self._directory) < _SWEEPERS_PER_DATA_CENTRE:
            self._forgotten.put_nowait(record)

    async def _removed(self, record: members.Record) -> bool:
        try:
            await self._announcer.remove(record)
        except errors.PlatformUnavailableError as error:
            _log.info("object_not_removed", error=str(error))
            return False
        return True


def create_sweeper(
    roster: rosters.Roster,
    directory: members.Directory,
    announcer: announcing.Announcer,
    rng: random.Random,
) -> Sweeper:
    """Returns a sweeper of the dead daemons that expire from `roster`."""
    return Sweeper(roster, directory, announcer, rng)
