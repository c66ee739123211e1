"""Neither an unexpected error nor a lost answer ends a watch of the store."""

import asyncio
import contextlib
import random

from savorybend.internal import errors
from savorybend.internal import timers
from savorybend.relay import recordfeed
from savorybend.relay import replica
from savorybend.relay import store
from savorybend.relay import storewatch
from savorybend.relay import watchers

_RUN_S = 2.0
# Pauses grow to 1 s; ten calls a second were made without them.
_MAX_LISTS = 8
# Of the users' two seconds for a configuration, and their three in which a
# machine that was disturbed may settle.
_NOTICED_WITHIN_S = 5.0


class _Consumer:
    def on_daemons(self, listing):
        pass

    def on_daemon_changes(self, listing):
        pass


class _Watchers:
    served = False

    def __init__(self):
        self.selection = watchers.Selection(True, (), primary=True)

    def select(self, state):
        return self.selection


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
        self.watchers = _Watchers()
        self.versions = []
        self.replica = replica.create_replica(_Consumer())
        self.feed = recordfeed.create_record_feed(
            recordfeed.Parts(
                self.replica, lambda message: None, timers.SystemClock()
            )
        )
        self.watch = storewatch.create_store_watch(
            storewatch.Parts(
                client=client,
                rng=random.Random(1),
                watchers=self.watchers,
                feed=self.feed,
                replica=self.replica,
                others=list,
                on_hint=lambda listing: None,
                on_configurations=self._on_configurations,
                follow=lambda names: None,
                announce=lambda: self.states.append(self.feed.state),
                registered=lambda: True,
                stopping=lambda: False,
            )
        )

    def _on_configurations(self, listing):
        self.versions += [one.value for one in listing.objects]


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


class _LossyStore(_Store):
    """A store that can lose the answers to the watches that wait.

    Attributes:
        unanswered: Kinds whose waiting watches never return.
        silent: Whether it answers no call any more.
        watches: Calls of watches so far, by kind.
    """

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.changed = {store.CONFIGURATION: 0, store.DAEMONS: 0}
        self.unanswered = set()
        self.silent = False
        self.watches = {store.CONFIGURATION: 0, store.DAEMONS: 0}

    def write(self, kind):
        self.revision += 1
        self.changed[kind] = self.revision

    async def watch(self, kind, after, wait_s, era=0):
        self.watches[kind] += 1
        try:
            async with asyncio.timeout(wait_s + 1.0):
                return await self._watch(kind, after, wait_s)
        except TimeoutError as error:
            raise errors.PlatformUnavailableError("silent") from error

    async def _watch(self, kind, after, wait_s):
        end_s = asyncio.get_running_loop().time() + wait_s
        waited = False
        while self.changed[kind] <= after:
            if asyncio.get_running_loop().time() >= end_s:
                break
            await asyncio.sleep(0.01)
            waited = True
        if self.silent or (waited and kind in self.unanswered):
            await asyncio.sleep(3600)
        found = ()
        if self.changed[kind] > after:
            value = b"%d" % self.changed[kind]
            found = (store.StoredObject("main", self.changed[kind], value),)
        return store.Listing(self.revision, found, after=after)


@contextlib.asynccontextmanager
async def _watching(client):
    """Runs a watch; waits until both kinds are watched."""
    fixture = _Fixture(client)
    task = asyncio.create_task(fixture.watch.run())
    try:
        async with asyncio.timeout(5.0):
            while not all(client.watches.values()):
                await asyncio.sleep(0.01)
        yield fixture
    finally:
        task.cancel()


async def _until(condition, timeout_s=_NOTICED_WITHIN_S):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_store_that_fell_silent_to_the_primary_watcher_is_noticed():
    client = _LossyStore()
    async with _watching(client) as fixture:
        client.silent = True
        await _until(lambda: watchers.State.FAILING in fixture.states)


async def test_a_configuration_whose_event_was_lost_is_read_all_the_same():
    client = _LossyStore()
    async with _watching(client) as fixture:
        client.unanswered = {store.CONFIGURATION, store.DAEMONS}
        client.write(store.CONFIGURATION)
        await _until(lambda: fixture.versions == [b"2"])


async def test_records_whose_event_was_lost_are_read_all_the_same():
    client = _LossyStore()
    async with _watching(client) as fixture:
        client.unanswered = {store.DAEMONS}
        client.write(store.DAEMONS)
        await _until(lambda: "main" in fixture.replica.names)


async def test_a_daemon_that_becomes_the_primary_watcher_reads_at_once():
    client = _LossyStore()
    async with _watching(client) as fixture:
        fixture.watchers.selection = watchers.Selection(True, ())
        await asyncio.sleep(watchers.PRIMARY_WAIT_S + 1.0)
        client.unanswered = {store.CONFIGURATION}
        client.write(store.CONFIGURATION)
        await asyncio.sleep(0.1)
        assert not fixture.versions
        fixture.watchers.selection = watchers.Selection(True, (), primary=True)
        await _until(lambda: fixture.versions == [b"2"], 1.0)


async def test_a_primary_watcher_makes_few_calls_while_nothing_changes():
    client = _LossyStore()
    async with _watching(client):
        before = dict(client.watches)
        await asyncio.sleep(3 * watchers.PRIMARY_WAIT_S)
    made = client.watches[store.CONFIGURATION] - before[store.CONFIGURATION]
    assert made <= 3
    assert client.watches[store.DAEMONS] == before[store.DAEMONS]


async def test_a_change_of_other_objects_costs_one_check_of_the_records():
    client = _LossyStore()
    async with _watching(client):
        client.write(store.CONFIGURATION)
        before = client.watches[store.DAEMONS]
        await asyncio.sleep(4 * watchers.PRIMARY_WAIT_S)
    assert client.watches[store.DAEMONS] - before <= 2
