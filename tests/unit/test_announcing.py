"""The platform object of a dead daemon is removed, a later start's is kept."""

import asyncio
import random

import msgspec
import pytest

from savorybend.internal import announcing
from savorybend.internal import errors
from savorybend.internal import members
from savorybend.internal import platform
from savorybend.internal import roster as rosters
from savorybend.internal import sweeping
from savorybend.internal.wire import membership as wire
from tests import fakes

pytestmark = pytest.mark.asyncio

_KEPT_S = 3 * 86_400.0
_DEAD = fakes.create_record("dead")
_LATER = fakes.create_record("dead", incarnation=2)


class _Store:
    """A fake platform with one object.

    `raced_by` replaces the object after a read; the first `outages` reads
    fail.
    """

    def __init__(self, record, raced_by, outages):
        self.version = 0
        self.done = asyncio.Event()
        self._raced_by = raced_by
        self._outages = outages
        self._write(record)

    def _write(self, record):
        self.record = record
        self.version += 1

    async def get(self, kind, name):
        if self._outages:
            self._outages -= 1
            raise errors.PlatformUnavailableError("down")
        value = msgspec.json.encode(self.record).decode()
        found = platform.Object(name, self.version, value)
        if self._raced_by is not None:
            self._write(self._raced_by)
        self.done.set()
        return found

    async def delete(self, kind, name, expected=None):
        if expected not in (None, self.version):
            raise errors.ConflictError("changed since")
        self.record = None


# Each row: the object, the record of a start that replaces it between the read
# and the deletion, the number of reads that fail first, and what is left.
_ROWS = (
    ("its own", _DEAD, None, 0, None),
    ("its own after an outage", _DEAD, None, 1, None),
    ("a later start's", _LATER, None, 0, _LATER),
    ("a later start's meanwhile", _DEAD, _LATER, 0, _LATER),
)


@pytest.mark.parametrize("row", _ROWS, ids=[row[0] for row in _ROWS])
async def test_only_the_object_of_the_expired_incarnation_is_removed(row):
    _, record, raced_by, outages, left = row
    clock = fakes.create_clock()
    store = _Store(record, raced_by, outages)
    directory = members.create_directory(fakes.create_record("own"))
    roster = rosters.create_roster(directory, clock, fakes.create_signer("own"))
    announcer = announcing.create_announcer(directory, store, random.Random(1))
    sweeper = sweeping.create_sweeper(
        roster, directory, announcer, random.Random(1)
    )
    roster.apply(wire.Update(_DEAD, rosters.DEAD))
    clock.advance(_KEPT_S + 1)
    roster.forget_old()
    work = asyncio.create_task(sweeper.run())
    await asyncio.wait_for(store.done.wait(), 30)
    await asyncio.sleep(0)
    work.cancel()
    assert store.record == left


async def test_a_dead_daemon_is_reported_only_after_its_retention_time():
    clock = fakes.create_clock()
    directory = members.create_directory(fakes.create_record("own"))
    roster = rosters.create_roster(directory, clock, fakes.create_signer("own"))
    seen = []
    roster.subscribe_forgotten(seen.append)
    roster.apply(wire.Update(_DEAD, rosters.DEAD))
    clock.advance(_KEPT_S - 1)
    roster.forget_old()
    assert not seen
    clock.advance(2)
    roster.forget_old()
    assert seen == [_DEAD]
