"""Keeps this daemon's record on the store, and learns of others from there."""

import asyncio
import collections.abc
import random

import msgspec
import structlog

from savorybend.internal import budget
from savorybend.internal import errors
from savorybend.internal import sentinels
from savorybend.relay import backend
from savorybend.relay import frames
from savorybend.relay import store

# A store that is silent is noticed by the system's keep-alive probes, so the
# call may wait long, and costs little while nothing changes.
_WATCH_S = 28.0
_LONGEST_BACKOFF_S = 1.0
# Changes that come together are told with one call.
_GATHER_S = 0.02
# Each change of a daemon's record wakes whoever follows the records, which is
# every daemon: the larger the fleet, the longer each waits for more changes
# before it asks again, so that the fleet is woken this often at most.
_WAKES_PER_S = 50.0
# So many daemons are woken seldom enough by themselves.
_SMALL_FLEET = 10
_LONGEST_PAUSE_S = 3.0

_log = structlog.get_logger()

PauseS = collections.abc.Callable[[], float]


class Record(msgspec.Struct, frozen=True):
    """What the store keeps of a daemon.

    Attributes:
        statement: What it says of itself.
        server_state: The backend server's state, which may be ready while its
            daemon is leaving.
        born_ms: When its backend server started, Unix time in milliseconds.
        sequence: Of the backend server's last announcement that was news.
    """

    statement: frames.Statement
    server_state: str
    born_ms: int
    sequence: int


_DECODER = msgspec.json.Decoder(Record)


def decode(value: bytes) -> Record:
    """Returns a record.

    Raises:
        errors.InvalidMessageError: It is none.
    """
    try:
        return _DECODER.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.InvalidMessageError(
            f"record can't be decoded ({error}): only daemons write this kind"
        ) from error


def stored_state(record: Record) -> backend.StoredState:
    """Returns what a record says of the backend server beside its daemon."""
    statement = record.statement
    return backend.StoredState(
        instance=statement.instance,
        service=statement.service,
        slots=statement.slots,
        born_ms=record.born_ms,
        sequence=record.sequence,
        state=record.server_state,
    )


class Publisher:
    """Writes this daemon's record whenever it has changed."""

    def __init__(self, name: str, client: store.Store, rng: random.Random):
        self._name = name
        self._store = client
        self._backoff = _create_backoff(rng)
        self._wanted: Record | None = None
        self._revision: int | None = None
        self._kept: Record | None = None
        self._changed = asyncio.Event()
        self._waiting: list[asyncio.Future] = []
        self._reachable = True

    @property
    def up_to_date(self) -> bool:
        """Whether the store has the newest record."""
        return self._wanted is not None and self._kept == self._wanted

    async def restore(self) -> Record | sentinels.Absence:
        """Returns the record that an earlier start of this daemon left.

        Raises:
            errors.PlatformUnavailableError: The store didn't answer.
        """
        found = await self._store.get(store.DAEMONS, self._name)
        if isinstance(found, sentinels.Absence):
            return found
        self._revision = found.revision
        return decode(found.value)

    def publish(self, record: Record) -> None:
        """Has a record written."""
        self._wanted = record
        self._changed.set()

    async def wait(self, timeout_s: float) -> bool:
        """Returns whether the newest record is kept, after a while at most."""
        if self.up_to_date:
            return True
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return False
        return True

    def note_deleted(self) -> None:
        """Notes that somebody took this daemon for gone."""
        if self._kept is not None:
            self._revision = None
            self._kept = None
            self._changed.set()

    async def run(self) -> None:
        """Writes until it is cancelled."""
        while True:
            await self._changed.wait()
            await asyncio.sleep(_GATHER_S)
            self._changed.clear()
            while self._wanted is not None and self._kept != self._wanted:
                wanted = self._wanted
                try:
                    await self._write(wanted)
                except errors.PlatformUnavailableError as error:
                    self._note_failure(error)
                    await asyncio.sleep(
                        min(_LONGEST_BACKOFF_S, self._backoff.fail())
                    )
                    continue
                self._note_success(wanted)

    async def remove(self) -> None:
        """Deletes the record, once; the daemon is leaving."""
        self._wanted = None
        if self._revision is None:
            return
        try:
            await self._store.delete(store.DAEMONS, self._name, self._revision)
        except errors.SavorybendError as error:
            _log.warning("record_not_removed", error=str(error))

    async def _write(self, wanted: Record) -> None:
        value = msgspec.json.encode(wanted)
        try:
            await self._put(value)
        except errors.ConflictError:
            # An earlier write of ours whose answer was lost, or a removal.
            found = await self._store.get(store.DAEMONS, self._name)
            self._revision = found.revision if found else None
            await self._put_again(value)

    async def _put_again(self, value: bytes) -> None:
        try:
            await self._put(value)
        except errors.ConflictError as error:
            raise errors.PlatformUnavailableError(
                f"record of {self._name} changes under us ({error}): give "
                "each daemon a name of its own"
            ) from error

    async def _put(self, value: bytes) -> None:
        if self._revision is None:
            written = await self._store.create(store.DAEMONS, self._name, value)
        else:
            written = await self._store.replace(
                store.DAEMONS, self._name, value, self._revision
            )
        self._revision = written.revision

    def _note_failure(self, error: errors.PlatformUnavailableError) -> None:
        if self._reachable:
            _log.warning("store_lost", error=str(error))
        self._reachable = False

    def _note_success(self, record: Record) -> None:
        if not self._reachable:
            _log.info("store_regained")
        self._reachable = True
        self._backoff.reset()
        self._kept = record
        _log.info(
            "record_kept",
            state=record.statement.state,
            instance=record.statement.instance,
            serial=record.statement.serial,
            revision=self._revision,
        )
        if self.up_to_date:
            waiting, self._waiting = self._waiting, []
            for future in waiting:
                if not future.done():
                    future.set_result(None)


def batching_delay_s(size: int) -> float:
    """Returns how long to gather changes of records, in seconds.

    Args:
        size: How many daemons follow them.
    """
    beyond = max(0, size - _SMALL_FLEET)
    return min(_LONGEST_PAUSE_S, beyond / _WAKES_PER_S)


def no_batching_delay_s() -> float:
    """Returns the pause where each change is wanted at once: none."""
    return 0.0


class Follower:
    """Follows one kind of objects, by listings and watches."""

    def __init__(
        self,
        kind: store.Kind,
        client: store.Store,
        rng: random.Random,
        pause_s: PauseS,
    ):
        self._kind = kind
        self._store = client
        self._pause_s = pause_s
        self._backoff = _create_backoff(rng)
        self._reachable = True

    async def run(self, on_listing, on_changes) -> None:
        """Follows until it is cancelled.

        Args:
            on_listing: Gets each whole listing.
            on_changes: Gets what changed since.
        """
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    listing = await self._store.list(self._kind)
                    on_listing(listing)
                else:
                    listing = await self._store.watch(
                        self._kind, revision, _WATCH_S
                    )
                    on_changes(listing)
                revision = listing.revision
                self._note_success()
                if listing.objects or listing.deleted:
                    await asyncio.sleep(self._pause_s())
            except store.HistoryGoneError as error:
                _log.info(
                    "watch_restarted", kind=self._kind.name, why=str(error)
                )
                revision = None
            except errors.PlatformUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(
                    min(_LONGEST_BACKOFF_S, self._backoff.fail())
                )

    def _note_success(self) -> None:
        if not self._reachable:
            _log.info("watch_regained", kind=self._kind.name)
        self._reachable = True
        self._backoff.reset()

    def _note_failure(self, error: errors.PlatformUnavailableError) -> None:
        if self._reachable:
            _log.warning("watch_lost", kind=self._kind.name, error=str(error))
        self._reachable = False


def _create_backoff(rng: random.Random) -> budget.Backoff:
    return budget.create_backoff(rng)
