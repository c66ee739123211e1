"""Watches the store while this daemon is one of its data centre's watchers.

All watchers watch the configuration, so that a change is in force in time
though one of them is lost. Only the primary watcher watches the records.
"""

import asyncio
import collections.abc
import random
import typing

import structlog

from savorybend.internal import budget
from savorybend.internal import errors
from savorybend.relay import following
from savorybend.relay import frames
from savorybend.relay import recordfeed
from savorybend.relay import replica
from savorybend.relay import store
from savorybend.relay import watchers

_CHECK_INTERVAL_S = 0.1
# Longest pause after a failed call; longer while other daemons have the news.
_MAX_BACKOFF_S = 1.0
_MAX_BACKOFF_SERVED_S = 5.0
# Daemons that start together read the store one after the other within this
# time, and the first ones tell the others what they found.
_START_SPREAD_S = 1.0
# Longest delay between two watches; see `following.batching_delay_s`.
_MAX_BATCHING_DELAY_S = 0.5

_log = structlog.get_logger()

OnListing = collections.abc.Callable[[store.Listing], None]


class Parts(typing.NamedTuple):
    """Dependencies of `StoreWatch`.

    Attributes:
        client: The store.
        rng: Random numbers, for jitter.
        watchers: Selects the watchers.
        feed: Receives the records.
        replica: The copy of the records.
        others: Returns the names of the other known daemons.
        on_hint: Called with records that may be out of date.
        on_configurations: Called with listed and changed configurations.
        follow: Called with the names of the daemons to follow.
        announce: Tells the connected daemons of a new state.
        registered: Returns whether this daemon's own record is stored.
        stopping: Returns whether this daemon is shutting down.
    """

    client: store.Store
    rng: random.Random
    watchers: watchers.Watchers
    feed: recordfeed.RecordFeed
    replica: replica.Replica
    others: collections.abc.Callable[[], collections.abc.Sized]
    on_hint: OnListing
    on_configurations: OnListing
    follow: collections.abc.Callable[[collections.abc.Sequence[str]], None]
    announce: collections.abc.Callable[[], None]
    registered: collections.abc.Callable[[], bool]
    stopping: collections.abc.Callable[[], bool]


class _Running(typing.NamedTuple):
    """A watch of one kind of objects, and its task."""

    follower: following.Follower
    task: asyncio.Task


class StoreWatch:
    """Starts and stops this daemon's watches of the store."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._running: dict[store.Kind, _Running] = {}
        self._followed_by_others = False
        self._primary = False
        # Position of the store when it last answered.
        self._store_position: frames.Position | None = None
        self._backoff = budget.create_backoff(parts.rng)
        self._restarts = budget.create_backoff(parts.rng)

    def note_follower(self) -> None:
        """Notes that another daemon takes this one for a watcher."""
        self._followed_by_others = True

    async def run(self) -> None:
        """Watches whenever this daemon is selected, until cancelled."""
        try:
            if not await self._find_others():
                await self._await_turn()
            while True:
                self._check()
                await asyncio.sleep(_CHECK_INTERVAL_S)
        finally:
            self._stop()

    async def _find_others(self) -> bool:
        """Returns whether the store lists, or a daemon told, other daemons."""
        while self._parts.replica.position is None:
            try:
                listing = await self._parts.client.list(
                    store.DAEMONS, stale=True
                )
                self._parts.on_hint(listing)
            except Exception as error:  # noqa: BLE001
                # Without this listing, the store wouldn't be followed at all.
                expected = isinstance(error, errors.PlatformUnavailableError)
                _log.warning(
                    "daemons_not_listed",
                    error=str(error),
                    exc_info=not expected,
                )
                if self._parts.others():
                    return True
                await asyncio.sleep(min(_MAX_BACKOFF_S, self._backoff.fail()))
                continue
            return bool(listing.objects)
        return True

    async def _await_turn(self) -> None:
        """Waits, since the other daemons may be starting as well."""
        turn_s = self._parts.rng.uniform(0.0, _START_SPREAD_S)
        while turn_s > 0 and not self._knows_enough():
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self._parts.registered():
                turn_s -= _CHECK_INTERVAL_S

    def _knows_enough(self) -> bool:
        has_copy = self._parts.replica.position is not None
        return has_copy or self._followed_by_others

    def _check(self) -> None:
        selection = self._parts.watchers.select(self._parts.feed.state)
        self._parts.follow(selection.followed)
        if selection.watches and not self._parts.stopping():
            self._set_primary(selection.primary)
            self._watch()
        else:
            self._stop()
            self._primary = False
        self._report()

    def _set_primary(self, primary: bool) -> None:
        """Asks the store at once if the others now rely on this daemon."""
        became_primary = primary and not self._primary
        self._primary = primary
        configuration = self._running.get(store.CONFIGURATION)
        if (
            became_primary
            and configuration is not None
            and configuration.follower.established
        ):
            configuration.follower.check()

    def _watch(self) -> None:
        """Starts and stops what should; records wait for the store's answer."""
        self._drop_ended()
        configuration = self._running.get(store.CONFIGURATION)
        if configuration is None:
            _log.info("store_watch_started")
            self._start_configuration()
            return
        # What makes one of the watches fail is likely to affect both, and the
        # other one may wait for an answer that was lost.
        if not self._primary or configuration.follower.failing:
            self._cancel(store.DAEMONS)
        elif (
            store.DAEMONS not in self._running
            and configuration.follower.established
        ):
            self._start_records()

    def _start_configuration(self) -> None:
        follower = following.Follower(
            store.CONFIGURATION,
            self._parts.client,
            self._parts.rng,
            following.no_batching_delay_s,
            self._max_backoff_s,
            self._configuration_wait_s,
        )
        work = follower.run(self._on_configurations, self._on_configurations)
        self._start(store.CONFIGURATION, follower, work)

    def _start_records(self) -> None:
        follower = following.Follower(
            store.DAEMONS,
            self._parts.client,
            self._parts.rng,
            self._batching_delay_s,
            self._max_backoff_s,
        )
        position = self._parts.replica.position
        start = None
        if position is not None:
            start = following.Start(position.revision, position.era)
        feed = self._parts.feed
        work = follower.run(feed.on_listing, feed.on_changes, start)
        self._start(store.DAEMONS, follower, work)

    def _start(
        self,
        kind: store.Kind,
        follower: following.Follower,
        work: collections.abc.Coroutine,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._follow(kind, follower, work)
        )
        self._running[kind] = _Running(follower, task)

    def _on_configurations(self, listing: store.Listing) -> None:
        self._parts.feed.note_read()
        self._parts.on_configurations(listing)
        before = self._store_position
        self._store_position = frames.Position(listing.era, listing.revision)
        records = self._running.get(store.DAEMONS)
        if records is None or listing.objects:
            return
        if self._parts.feed.misses(before):
            # Something was written before the last wait began. If it was a
            # record, the answer that told of it was lost.
            records.follower.check()

    async def _follow(
        self,
        kind: store.Kind,
        follower: following.Follower,
        work: collections.abc.Coroutine,
    ) -> None:
        """Runs a watch; after an unexpected error, pauses before it ends."""
        try:
            await work
        except Exception:  # noqa: BLE001
            # What raises is likely to raise again.
            follower.note_error()
            _log.exception("store_watch_failed", kind=kind.name)
            await asyncio.sleep(
                min(self._max_backoff_s(), self._restarts.fail())
            )

    def _cancel(self, kind: store.Kind) -> None:
        running = self._running.pop(kind, None)
        if running is not None:
            running.task.cancel()

    def _stop(self) -> None:
        if self._running:
            _log.info("store_watch_stopped")
        for kind in list(self._running):
            self._cancel(kind)

    def _drop_ended(self) -> None:
        """Drops watches that have ended; they start again."""
        for kind, running in list(self._running.items()):
            if running.task.done():
                del self._running[kind]

    def _report(self) -> None:
        state = self._state()
        if state is not self._parts.feed.state:
            self._parts.feed.state = state
            self._parts.announce()

    def _state(self) -> watchers.State:
        if not self._running:
            return watchers.State.IDLE
        if any(one.follower.failing for one in self._running.values()):
            return watchers.State.FAILING
        configuration = self._running.get(store.CONFIGURATION)
        if configuration is None or not configuration.follower.established:
            return watchers.State.IDLE
        has_records = self._parts.replica.position is not None
        if self._primary and store.DAEMONS not in self._running:
            has_records = False
        return watchers.State.WATCHING if has_records else watchers.State.IDLE

    def _max_backoff_s(self) -> float:
        if self._parts.watchers.served:
            return _MAX_BACKOFF_SERVED_S
        return _MAX_BACKOFF_S

    def _configuration_wait_s(self) -> float:
        if self._primary:
            return watchers.PRIMARY_WAIT_S
        return following.LONGEST_WAIT_S

    def _batching_delay_s(self) -> float:
        return min(
            _MAX_BATCHING_DELAY_S,
            following.batching_delay_s(len(self._parts.others()) + 1),
        )


def create_store_watch(parts: Parts) -> StoreWatch:
    """Returns a watch that `run` starts."""
    return StoreWatch(parts)
