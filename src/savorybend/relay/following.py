"""Follows stored objects by listing and watching them."""

import asyncio
import collections.abc
import random
import typing

import structlog

from savorybend.internal import budget
from savorybend.internal import errors
from savorybend.relay import store

# An idle watch costs little. Silence until then may also mean that the store's
# answer was lost.
LONGEST_WAIT_S = 28.0
# The shortest wait that the store accepts: it answers at once.
_CHECK_WAIT_S = 0.001
_MAX_BACKOFF_S = 1.0
# Each change wakes all daemons that watch the records. The delay between
# watches grows with the fleet to let changes accumulate, which bounds the watch
# calls over the whole fleet to about this rate, even if every daemon watches.
_FLEET_WAKEUPS_PER_S = 50.0
# A fleet of up to this size needs no delay.
_UNDELAYED_FLEET_SIZE = 10
_MAX_BATCHING_DELAY_S = 3.0

_log = structlog.get_logger()

BatchingDelay = collections.abc.Callable[[], float]
Wait = collections.abc.Callable[[], float]


def batching_delay_s(size: int) -> float:
    """Returns the delay between watches of the records, in seconds.

    Args:
        size: Number of daemons that follow the records.
    """
    excess = max(0, size - _UNDELAYED_FLEET_SIZE)
    return min(_MAX_BATCHING_DELAY_S, excess / _FLEET_WAKEUPS_PER_S)


def no_batching_delay_s() -> float:
    """Returns 0, for objects whose changes must arrive without delay."""
    return 0.0


def longest_wait_s() -> float:
    """Returns the longest wait for a change, in seconds."""
    return LONGEST_WAIT_S


def _usual_backoff_s() -> float:
    return _MAX_BACKOFF_S


class Start(typing.NamedTuple):
    """Where to begin a watch.

    Attributes:
        revision: The store's revision.
        era: Its era; 0 if the store told none.
    """

    revision: int
    era: int


class Follower:
    """Follows one kind of stored objects by listing and watching them."""

    def __init__(
        self,
        kind: store.Kind,
        client: store.Store,
        rng: random.Random,
        batching_delay_s: BatchingDelay,
        max_backoff_s: collections.abc.Callable[[], float] = _usual_backoff_s,
        wait_s: Wait = longest_wait_s,
    ):
        self._kind = kind
        self._store = client
        self._batching_delay_s = batching_delay_s
        self._max_backoff_s = max_backoff_s
        self._wait_s = wait_s
        self._waiting: asyncio.Timeout | None = None
        self._check_due = False
        self._backoff = budget.create_backoff(rng)
        self._reachable = True
        self._established = False

    @property
    def established(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._established

    @property
    def failing(self) -> bool:
        """Whether the last call to the store failed."""
        return not self._reachable

    async def run(
        self, on_listing, on_changes, start: Start | None = None
    ) -> None:
        """Follows the objects until cancelled.

        Args:
            on_listing: Called with each complete listing.
            on_changes: Called with the changes since the last listing or
                watch.
            start: Where to watch from; None lists the objects first.
        """
        revision = start.revision if start else None
        era = start.era if start else 0
        while True:
            try:
                if revision is None:
                    listing = await self._store.list(self._kind)
                    on_listing(listing)
                else:
                    listing = await self._watch(revision, era)
                    if listing is None:
                        continue
                    on_changes(listing)
                revision, era = listing.revision, listing.era
                self._note_success()
                if listing.objects or listing.deleted:
                    await asyncio.sleep(self._batching_delay_s())
            except store.HistoryGoneError as error:
                _log.info(
                    "watch_restarted", kind=self._kind.name, why=str(error)
                )
                revision = None
            except errors.PlatformUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(
                    min(self._max_backoff_s(), self._backoff.fail())
                )

    def check(self) -> None:
        """Asks the store at once, in place of a watch that is waiting."""
        self._check_due = True
        if self._waiting is not None:
            self._waiting.reschedule(asyncio.get_running_loop().time())
            self._waiting = None

    def note_error(self) -> None:
        """Notes that an unexpected error has ended `run`."""
        self._reachable = False
        self._established = False

    async def _watch(self, revision: int, era: int) -> store.Listing | None:
        """Returns the changes after a revision; None if `check` ended it."""
        wait_s = _CHECK_WAIT_S if self._check_due else self._wait_s()
        self._check_due = False
        try:
            async with asyncio.timeout(None) as self._waiting:
                return await self._store.watch(
                    self._kind, revision, wait_s, era
                )
        except TimeoutError:
            return None
        finally:
            self._waiting = None

    def _note_success(self) -> None:
        if not self._reachable:
            _log.info("watch_regained", kind=self._kind.name)
        self._reachable = True
        self._established = True
        self._backoff.reset()

    def _note_failure(self, error: errors.PlatformUnavailableError) -> None:
        if self._reachable:
            _log.warning("watch_lost", kind=self._kind.name, error=str(error))
        self._reachable = False
        self._established = False
