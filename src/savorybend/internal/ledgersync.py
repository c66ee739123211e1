"""Keeps a data centre's ledger on the platform up to date.

Only the daemon that acts as allocator calls the platform, and it writes only
when owners change. If two daemons both act as allocator, the platform's
conditional update rejects the write that is based on an outdated copy.
"""

import asyncio
import random
import typing

import msgspec

from savorybend.internal import allocation
from savorybend.internal import allocators
from savorybend.internal import errors
from savorybend.internal import ledger
from savorybend.internal import lending
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import platform
from savorybend.internal import timers
from savorybend.internal.wire import limits as messages

LIMITS_KIND = "limits"

_INTERVAL_S = 1.0
# The copy is read again after this long, so that owners stay confirmed.
_REFRESH_S = 60.0
# Shorter while an owner is marked, since an operator may free its parts.
_REFRESH_LOST_S = 5.0
_MAX_BACKOFF_S = 15.0

_log = logs.get()


class Store(typing.Protocol):
    """The methods of `platform.Platform` that `Synchronizer` uses."""

    async def get(self, kind: str, name: str) -> typing.Any:
        """Returns an object, or `platform.NO_OBJECT`."""

    async def put(self, kind: str, name: str, value: str, expected: int) -> int:
        """Writes an object if its version is `expected`."""


class Dependencies(typing.NamedTuple):
    """Services that a synchronizer uses."""

    clock: timers.Clock
    chooser: allocators.Chooser
    own: members.Record
    store: Store
    send: lending.Send
    random: random.Random


class Synchronizer:
    """Synchronises this daemon's copy of the ledger with the platform."""

    def __init__(
        self,
        dependencies: Dependencies,
        planner: ledger.Planner,
        allocator: allocation.Allocator,
    ):
        self._dependencies = dependencies
        self._planner = planner
        self._allocator = allocator
        self._ledger = ledger.Ledger()
        self._version = platform.ABSENT
        self._read_s = float("-inf")
        # Whether the ledger may have changed since the copy was made: by
        # another daemon, or by a write of this one whose reply was lost.
        self._outdated = True
        self._failures = 0

    @property
    def current(self) -> ledger.Ledger:
        """The ledger as last read or written."""
        return self._ledger

    @property
    def age_s(self) -> float:
        """Seconds since the copy was read; infinite if there is none."""
        return self._dependencies.clock.now_s() - self._read_s

    async def run(self) -> None:
        """Updates the ledger as daemons join and leave, until cancelled."""
        while True:
            await asyncio.sleep(await self.step())

    async def step(self) -> float:
        """Runs one update if due; returns the seconds until the next step."""
        own = self._dependencies.own
        if self._dependencies.chooser.allocator(own.data_centre) != own.name:
            # The current allocator may write the ledger in the meantime.
            self._outdated = True
            return self._jittered(_INTERVAL_S)
        try:
            await self._update()
        except errors.PlatformUnavailableError as error:
            self._failures += 1
            _log.warning("limits_ledger_unavailable", error=str(error))
            wait_s = min(_MAX_BACKOFF_S, _INTERVAL_S * 2**self._failures)
            return self._jittered(wait_s)
        except errors.ConflictError:
            # Another daemon wrote it; read its version before the next write.
            self._outdated = True
        else:
            self._failures = 0
        self._hint_owners()
        return self._jittered(_INTERVAL_S)

    async def _update(self) -> None:
        lost = any(entry.marked for entry in self._ledger.entries)
        refresh_s = _REFRESH_LOST_S if lost else _REFRESH_S
        if self._outdated or self.age_s > refresh_s:
            await self._read()
        now_s = self._dependencies.clock.now_s()
        centre = self._dependencies.own.data_centre
        alive = [
            ledger.Member(r.name, r.incarnation, r.peer_address)
            for r in self._dependencies.chooser.of_centre(centre)
        ]
        planned = self._planner.plan(self._ledger, alive, now_s)
        if planned != self._ledger:
            await self._write(planned)

    async def _read(self) -> None:
        started_s = self._dependencies.clock.now_s()
        centre = self._dependencies.own.data_centre
        found = await self._dependencies.store.get(LIMITS_KIND, centre)
        if found:
            self._ledger = _decode(found)
            self._version = found.version
        else:
            self._ledger, self._version = ledger.Ledger(), platform.ABSENT
        self._read_s = started_s
        self._outdated = False

    async def _write(self, planned: ledger.Ledger) -> None:
        started_s = self._dependencies.clock.now_s()
        value = msgspec.json.encode(planned).decode()
        self._outdated = True
        self._version = await self._dependencies.store.put(
            LIMITS_KIND,
            self._dependencies.own.data_centre,
            value,
            self._version,
        )
        self._outdated = False
        self._ledger = planned
        self._read_s = started_s
        _log.info("limits_ledger_written", version=self._version)

    def _hint_owners(self) -> None:
        """Sends a hint to owners of unused parts.

        Repeated at every step, since a hint may be lost.
        """
        entrusted = self._allocator.part_indexes
        owners = {
            (entry.owner, entry.incarnation)
            for index, entry in enumerate(self._ledger.entries)
            if entry.owner and not entry.marked and index not in entrusted
        }
        for name, incarnation in owners:
            now_s = self._dependencies.clock.now_s()
            hint = messages.Entrusted(
                incarnation, self._dependencies.own.incarnation, now_s, 0.0, 0.0
            )
            self._dependencies.send(name, hint)

    def _jittered(self, seconds: float) -> float:
        return seconds * self._dependencies.random.uniform(0.75, 1.25)


def _decode(found: platform.Object) -> ledger.Ledger:
    try:
        decoded = msgspec.json.decode(found.value, type=ledger.Ledger)
        # Its numbers are sent to other daemons.
        msgspec.msgpack.encode(decoded)
    except (ValueError, OverflowError, RecursionError) as error:
        raise errors.PlatformUnavailableError(
            f"ledger of {found.name} can't be read ({error}): restore or "
            "delete the object"
        ) from error
    return decoded


def create_synchronizer(
    dependencies: Dependencies,
    planner: ledger.Planner,
    allocator: allocation.Allocator,
) -> Synchronizer:
    """Returns a synchronizer that has no copy of the ledger yet."""
    return Synchronizer(dependencies, planner, allocator)
