"""Resolves conflicting claims to a daemon's name by its platform object."""

import asyncio
import random

from savorybend.internal import announcing
from savorybend.internal import budget
from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import platform
from savorybend.internal import roster as rosters

# Claims spread in rounds of gossip, so that a fleet of 1,000 reads one object
# within a second or two, far below the platform's capacity.
_JITTER_S = 0.2
# Leaves half of the budget of platform requests to the configuration and the
# limits, however many names a hostile member claims.
_PAUSE_S = 0.5
# Below the time that a daemon waits for the reply to its join request.
_LONGEST_ADMISSION_S = 1.0

_log = logs.get()


class ClaimResolver:
    """Looks up names that are claimed with another key on the platform."""

    def __init__(
        self,
        roster: rosters.Roster,
        store: platform.Platform,
        rng: random.Random,
    ):
        self._roster = roster
        self._store = store
        self._rng = rng
        self._backoff = budget.create_backoff(rng)
        self._names: dict[str, None] = {}
        self._claimed = asyncio.Event()
        roster.subscribe_claims(self._on_claim)

    async def run(self) -> None:
        """Resolves claims until cancelled."""
        while True:
            await self._claimed.wait()
            self._claimed.clear()
            await asyncio.sleep(self._rng.uniform(0, _JITTER_S))
            for name in list(self._names):
                await self._settle(name)

    async def admit(self, name: str) -> None:
        """Resolves a joining daemon's claim before its request is answered.

        The daemon connects next. A connection that is refused because its key
        isn't known yet stays unusable until it is replaced.
        """
        if not self._roster.is_claimed(name):
            return
        try:
            async with asyncio.timeout(_LONGEST_ADMISSION_S):
                found = await self._store.get(platform.DAEMON_KIND, name)
        except (TimeoutError, errors.PlatformUnavailableError):
            # The claim stays pending, and `run` tries it again.
            return
        self._roster.resolve_claim(
            name, announcing.decode(found) if found else None
        )

    def _on_claim(self, name: str) -> None:
        self._names[name] = None
        self._claimed.set()

    async def _settle(self, name: str) -> None:
        try:
            found = await self._store.get(platform.DAEMON_KIND, name)
        except errors.PlatformUnavailableError as error:
            _log.info("claim_not_settled", daemon=name, error=str(error))
            # Without the platform, the holder keeps the name as long as it
            # refutes suspicions, which a VM that was replaced can't.
            self._roster.suspect_holder(name)
            self._claimed.set()
            await asyncio.sleep(self._backoff.fail())
            return
        self._backoff.reset()
        self._names.pop(name, None)
        self._roster.resolve_claim(
            name, announcing.decode(found) if found else None
        )
        await asyncio.sleep(_PAUSE_S)


def create_claim_resolver(
    roster: rosters.Roster, store: platform.Platform, rng: random.Random
) -> ClaimResolver:
    """Returns a resolver of the claims that `roster` reports."""
    return ClaimResolver(roster, store, rng)
