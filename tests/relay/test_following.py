"""A follower hears of each change, with few calls."""

import asyncio
import random

from savorybend.relay import following
from savorybend.relay import store


async def test_follower_lists_again_when_the_history_is_gone():
    seen = []

    class _StoreWithoutHistory:
        lists = 0

        async def list(self, kind):
            self.lists += 1
            return store.Listing(self.lists, ())

        async def watch(self, kind, after, wait_s, era=0):
            if after < 3:
                raise store.HistoryGoneError("gone")
            await asyncio.sleep(3600)

    client = _StoreWithoutHistory()
    follower = following.Follower(
        store.DAEMONS, client, random.Random(1), following.no_batching_delay_s
    )
    follower_task = asyncio.create_task(follower.run(seen.append, seen.append))
    async with asyncio.timeout(5.0):
        while client.lists < 3:
            await asyncio.sleep(0.01)
    follower_task.cancel()
    assert [listing.revision for listing in seen][:3] == [1, 2, 3]


async def test_simultaneous_changes_are_batched_for_a_follower():
    # Without batching, each of the 180 records that 90 daemons wrote at startup
    # woke all of them: 9,645 calls to the store on a day without faults, which
    # cost a fifth of that day's score.
    client = _ChangingStore()
    wakeups = []
    follower = following.Follower(
        store.DAEMONS, client, random.Random(1), lambda: 0.5
    )
    follower_task = asyncio.create_task(
        follower.run(wakeups.append, wakeups.append)
    )
    for _ in range(30):
        await client.change()
    async with asyncio.timeout(10.0):
        while not wakeups or wakeups[-1].revision < 30:
            await asyncio.sleep(0.01)
    follower_task.cancel()
    assert len(wakeups) <= 4


def test_batching_delay_is_zero_for_small_fleets_and_bounds_the_watch_rate():
    assert following.batching_delay_s(8) == 0.0
    for size in (14, 90, 300, 1000):
        assert size / following.batching_delay_s(size) <= 400


class _ChangingStore:
    """A store whose watches return after each change."""

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

    async def watch(self, kind, after, wait_s, era=0):
        while self._revision <= after:
            self._changed.clear()
            await self._changed.wait()
        item = store.StoredObject("a", self._revision, b"")
        return store.Listing(self._revision, (item,))
