"""The record is kept through conflicts, lost answers and removals."""

import asyncio
import random

import pytest

from savorybend.internal import errors
from savorybend.relay import presence
from savorybend.relay import store
from tests.relay import samples


class _Store:
    """Keeps one object, and fails as the test says."""

    def __init__(self):
        self.kept = None
        self.revision = 0
        self.failing = 0
        self.losing = 0
        self.writes = 0

    def _trouble(self):
        if self.failing:
            self.failing -= 1
            raise errors.PlatformUnavailableError("down")

    def _write(self, value):
        self.writes += 1
        self.revision += 1
        self.kept = store.StoredObject("a", self.revision, value)
        if self.losing:
            self.losing -= 1
            raise errors.PlatformUnavailableError("answer lost")
        return self.kept

    async def get(self, kind, name):
        self._trouble()
        return self.kept or store.NO_OBJECT

    async def create(self, kind, name, value):
        self._trouble()
        if self.kept is not None:
            raise errors.ConflictError("there is one")
        return self._write(value)

    async def replace(self, kind, name, value, expected):
        self._trouble()
        if self.kept is None or self.kept.revision != expected:
            raise errors.ConflictError("another revision")
        return self._write(value)

    async def delete(self, kind, name, expected):
        self.kept = None


def _record(serial=1):
    return presence.Record(samples.statement("a", serial=serial), "ready", 5, 1)


async def _kept(client, *records, before=None):
    publisher = presence.Publisher("a", client, random.Random(1))
    writing = asyncio.create_task(publisher.run())
    try:
        for record in records:
            publisher.publish(record)
            assert await publisher.wait(5.0)
            if before is not None:
                before(publisher)
    finally:
        writing.cancel()
    return presence.decode(client.kept.value)


async def test_each_change_is_kept():
    client = _Store()
    assert await _kept(client, _record(1), _record(2)) == _record(2)
    assert client.writes == 2


async def test_an_earlier_starts_record_is_replaced():
    client = _Store()
    client._write(b"{}")
    assert await _kept(client, _record(1)) == _record(1)


async def test_a_write_whose_answer_was_lost_is_not_the_end():
    client = _Store()
    client.losing = 1
    assert await _kept(client, _record(1)) == _record(1)


async def test_a_store_that_is_down_is_asked_again():
    client = _Store()
    client.failing = 2
    assert await _kept(client, _record(1)) == _record(1)


async def test_a_record_that_somebody_removed_is_written_again():
    client = _Store()
    publisher = presence.Publisher("a", client, random.Random(1))
    writing = asyncio.create_task(publisher.run())
    publisher.publish(_record(1))
    await publisher.wait(5.0)
    client.kept = None
    publisher.note_deleted()
    assert await publisher.wait(5.0)
    writing.cancel()
    assert client.kept is not None


async def test_waiting_ends_while_the_store_is_down():
    client = _Store()
    client.failing = 1000
    publisher = presence.Publisher("a", client, random.Random(1))
    writing = asyncio.create_task(publisher.run())
    publisher.publish(_record(1))
    assert not await publisher.wait(0.1)
    writing.cancel()


async def test_a_follower_lists_again_when_the_history_is_gone():
    seen = []

    class _Forgetful:
        lists = 0

        async def list(self, kind):
            self.lists += 1
            return store.Listing(self.lists, ())

        async def watch(self, kind, after, wait_s):
            if after < 3:
                raise store.HistoryGoneError("gone")
            await asyncio.sleep(3600)

    client = _Forgetful()
    follower = presence.Follower(
        store.DAEMONS, client, random.Random(1), presence.no_batching_delay_s
    )
    running = asyncio.create_task(follower.run(seen.append, seen.append))
    async with asyncio.timeout(5.0):
        while client.lists < 3:
            await asyncio.sleep(0.01)
    running.cancel()
    assert [listing.revision for listing in seen][:3] == [1, 2, 3]


async def test_changes_that_come_together_wake_a_follower_once():
    # 180 records that 90 daemons wrote at their start woke each of them for
    # each: 9,645 calls to the store on a calm day, a fifth of its worth.
    client = _Changing()
    wakes = []
    follower = presence.Follower(
        store.DAEMONS, client, random.Random(1), lambda: 0.5
    )
    running = asyncio.create_task(follower.run(wakes.append, wakes.append))
    for _ in range(30):
        await client.change()
    async with asyncio.timeout(10.0):
        while not wakes or wakes[-1].revision < 30:
            await asyncio.sleep(0.01)
    running.cancel()
    assert len(wakes) <= 4


def test_a_small_fleet_hears_at_once_and_a_large_one_stays_within_the_rates():
    assert presence.batching_delay_s(8) == 0.0
    for size in (14, 90, 300, 1000):
        assert size / presence.batching_delay_s(size) <= 400


class _Changing:
    """A store whose watches end with each change."""

    def __init__(self):
        self._revision = 0
        self._changed = asyncio.Event()

    async def change(self):
        self._revision += 1
        self._changed.set()
        for _ in range(5):
            await asyncio.sleep(0)

    async def list(self, kind):
        return store.Listing(self._revision, ())

    async def watch(self, kind, after, wait_s):
        while self._revision <= after:
            self._changed.clear()
            await self._changed.wait()
        item = store.StoredObject("a", self._revision, b"")
        return store.Listing(self._revision, (item,))


def test_what_is_no_record_is_refused():
    with pytest.raises(errors.InvalidMessageError):
        presence.decode(b'{"statement":{}}')
