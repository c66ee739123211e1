"""An error that nobody expects costs neither a watch nor many calls."""

import asyncio
import random

from savorybend.relay import recordfeed
from savorybend.relay import replica
from savorybend.relay import store
from savorybend.relay import storewatch
from savorybend.relay import watchers

_RUN_S = 2.0
# Pauses grow to 1 s; ten calls a second were made without them.
_MAX_LISTS = 8


class _Consumer:
    def on_daemons(self, listing):
        pass

    def on_daemon_changes(self, listing):
        pass


class _Watchers:
    served = False

    def select(self, state):
        return watchers.Selection(True, ())


class _Store:
    """A store whose listings of daemons raise for a while."""

    def __init__(self, stale=0, complete=0):
        self.failures = {True: stale, False: complete}
        self.lists = {True: 0, False: 0}

    async def list(self, kind, stale=False):
        if kind is store.CONFIGURATION:
            return store.Listing(1, ())
        self.lists[stale] += 1
        if self.failures[stale]:
            self.failures[stale] -= 1
            raise RecursionError("nobody expects it")
        return store.Listing(1, (store.StoredObject("a", 1, b""),))

    async def watch(self, kind, after, wait_s, era=0):
        await asyncio.sleep(wait_s)


class _Fixture:
    def __init__(self, client):
        self.states = []
        self.replica = replica.create_replica(_Consumer())
        self.feed = recordfeed.create_record_feed(
            recordfeed.Parts(self.replica, lambda message: None)
        )
        self.watch = storewatch.create_store_watch(
            storewatch.Parts(
                client=client,
                rng=random.Random(1),
                watchers=_Watchers(),
                feed=self.feed,
                replica=self.replica,
                others=list,
                on_hint=lambda listing: None,
                on_configurations=lambda listing: None,
                follow=lambda names: None,
                announce=lambda: self.states.append(self.feed.state),
                registered=lambda: True,
                stopping=lambda: False,
            )
        )


async def _run(fixture, condition, timeout_s):
    task = asyncio.create_task(fixture.watch.run())
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)
    except TimeoutError:
        pass
    assert not task.done()
    task.cancel()


async def test_the_first_listing_is_tried_again_after_any_error():
    # The task ended, and the daemon followed the store no more.
    client = _Store(stale=1)
    fixture = _Fixture(client)
    await _run(fixture, lambda: fixture.replica.position, 5.0)
    assert list(fixture.replica.names) == ["a"]


async def test_a_watch_that_any_error_ends_begins_again():
    fixture = _Fixture(_Store(complete=1))
    await _run(fixture, lambda: fixture.replica.position, 5.0)
    assert list(fixture.replica.names) == ["a"]


async def test_a_watch_that_errors_end_again_and_again_pauses_longer():
    client = _Store(complete=1_000)
    fixture = _Fixture(client)
    await _run(fixture, lambda: False, _RUN_S)
    assert 2 <= client.lists[False] <= _MAX_LISTS
    assert watchers.State.FAILING in fixture.states
