"""Joins the fleet at start and rejoins it after a network partition."""

import asyncio
import random
import typing

from savorybend.internal import announcing
from savorybend.internal import errors
from savorybend.internal import joining
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import membership
from savorybend.internal import roster as rosters
from savorybend.internal import settings
from savorybend.internal.wire import membership as wire

# A new daemon joins through several others, since one may be about to leave.
_FIRST_JOINS = 3
_ALONE_INTERVAL_S = 0.5
_SHORTEST_INTERVAL_S = 1.0
# The whole fleet makes about five attempts per second, whatever its size: one
# successful attempt merges the two sides of a partition.
_INTERVAL_PER_MEMBER_S = 0.2
# The first reply may report that this daemon was declared dead; the second
# request carries the refutation.
_MOST_ROUNDS = 2

_log = logs.get()


class Parts(typing.NamedTuple):
    """Dependencies of `Bootstrap`."""

    membership: membership.Membership
    directory: members.Directory
    announcer: announcing.Announcer
    join_client: joining.JoinClient
    seeds: tuple[settings.Address, ...]
    rng: random.Random


class Bootstrap:
    """Joins at start, then periodically tries to reach lost daemons."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._unjoined: dict[str, members.Record] = {}

    async def run(self) -> None:
        """Joins the fleet and rejoins lost daemons until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._announce())
            group.create_task(self._join_seeds())
            group.create_task(self._rejoin_periodically())

    def answer(self, request: wire.JoinRequest) -> wire.JoinReply:
        """Adds a joining daemon and returns the updates for it."""
        roster = self._parts.membership.roster
        name = request.record.name
        before = roster.get(name)
        accused = []
        if before is not None and _is_newer(before, request.record):
            accused = [roster.update_of(before)]
        self._parts.membership.apply_updates(
            [wire.Update(request.record, rosters.ALIVE), *request.known]
        )
        if request.whole:
            known = [roster.update_of(entry) for entry in roster.entries()]
        else:
            known = [wire.Update(roster.own, rosters.ALIVE)]
        return wire.JoinReply(accused + known)

    async def _announce(self) -> None:
        listed = await self._parts.announcer.announce()
        own = self._parts.directory.own
        self._parts.rng.shuffle(listed)
        listed.sort(key=lambda record: record.data_centre != own.data_centre)
        roster = self._parts.membership.roster
        self._unjoined = {
            record.name: record
            for record in listed
            if roster.get(record.name) is None
        }
        await self._join_all(
            [record.admin_address for record in listed[:_FIRST_JOINS]]
        )

    async def _join_seeds(self) -> None:
        own = self._parts.directory.own.admin_address
        seeds = [str(seed) for seed in self._parts.seeds if str(seed) != own]
        count = min(_FIRST_JOINS, len(seeds))
        await self._join_all(self._parts.rng.sample(seeds, count))

    async def _join_all(self, addresses: list[str]) -> None:
        await asyncio.gather(*(self._join(a, True) for a in addresses))

    async def _rejoin_periodically(self) -> None:
        while True:
            count = len(self._parts.directory.all())
            interval_s = _ALONE_INTERVAL_S
            if count > 1:
                interval_s = max(
                    _SHORTEST_INTERVAL_S, count * _INTERVAL_PER_MEMBER_S
                )
            await asyncio.sleep(interval_s * self._parts.rng.uniform(0.5, 1.5))
            await self._try_one(alone=count == 1)

    async def _try_one(self, alone: bool) -> None:
        roster = self._parts.membership.roster
        for name in list(self._unjoined):
            if roster.get(name) is not None:
                del self._unjoined[name]
        lost = [entry.record for entry in roster.in_state(rosters.DEAD)]
        addresses = [r.admin_address for r in lost]
        addresses += [r.admin_address for r in self._unjoined.values()]
        if alone:
            addresses += [str(seed) for seed in self._parts.seeds]
        own = self._parts.directory.own.admin_address
        addresses = [address for address in addresses if address != own]
        if addresses:
            await self._join(self._parts.rng.choice(addresses), alone)

    async def _join(self, address: str, whole: bool) -> None:
        for _ in range(_MOST_ROUNDS):
            own = self._parts.directory.own
            request = wire.JoinRequest(own, whole, self._known_at(address))
            try:
                reply = await self._parts.join_client.join(address, request)
            except errors.PeerUnreachableError as error:
                _log.debug("not_joined", address=address, error=str(error))
                return
            self._parts.membership.apply_updates(reply.updates)
            _log.info("joined", address=address, daemons=len(reply.updates))
            if self._parts.directory.own == own:
                break
        for record in self._parts.directory.all():
            if record.admin_address == address:
                # Exchanges the other updates that either side lacks.
                self._parts.membership.repair_with(record.name)

    def _known_at(self, address: str) -> list[wire.Update]:
        roster = self._parts.membership.roster
        return [
            roster.update_of(entry)
            for entry in roster.entries()
            if entry.record.admin_address == address
            and entry.state == rosters.DEAD
        ]


def _is_newer(known: rosters.Entry, shown: members.Record) -> bool:
    return known.state != rosters.ALIVE or known.record.age_key > shown.age_key


def create_bootstrap(parts: Parts) -> Bootstrap:
    """Returns the bootstrap of the daemon that owns `parts.directory`."""
    return Bootstrap(parts)
