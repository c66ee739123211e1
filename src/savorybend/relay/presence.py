"""Publishes this daemon's record to the store and follows stored objects."""

import asyncio
import collections.abc
import random
import re
import typing

import msgspec
import structlog

from savorybend.internal import budget
from savorybend.internal import errors
from savorybend.internal import sentinels
from savorybend.relay import backend
from savorybend.relay import frames
from savorybend.relay import store

# An idle watch costs little. Silence until then may also mean that the store's
# answer was lost.
LONGEST_WAIT_S = 28.0
# The shortest wait that the store accepts: it answers at once.
_CHECK_WAIT_S = 0.001
_MAX_BACKOFF_S = 1.0
# Changes within this period are written with one call.
_WRITE_DELAY_S = 0.02
# Each change wakes all daemons that watch the records. The delay between
# watches grows with the fleet to let changes accumulate, which bounds the watch
# calls over the whole fleet to about this rate, even if every daemon watches.
_FLEET_WAKEUPS_PER_S = 50.0
# A fleet of up to this size needs no delay.
_UNDELAYED_FLEET_SIZE = 10
_MAX_BATCHING_DELAY_S = 3.0
# Far above any count or time in milliseconds, and exact as a float.
MAX_COUNT = 1 << 53
_MAX_PORT = 65_535
_HOST = re.compile(r"[!-~]{1,253}")

_log = structlog.get_logger()

BatchingDelay = collections.abc.Callable[[], float]
Wait = collections.abc.Callable[[], float]


class Record(msgspec.Struct, frozen=True):
    """A daemon's record in the store.

    Attributes:
        statement: The daemon's statement.
        server_state: The backend server's state; it may be ready while its
            daemon is shutting down.
        born_ms: When its backend server started, Unix time in milliseconds.
        sequence: Sequence number of the backend server's last published
            announcement.
        suspects: Requests that crash backend servers, as far as its daemon
            knows.
    """

    statement: frames.Statement
    server_state: str
    born_ms: int
    sequence: int
    suspects: tuple[frames.Suspicion, ...] = ()


_DECODER = msgspec.json.Decoder(Record)


def decode(stored: store.StoredObject) -> Record:
    """Decodes a stored record.

    Raises:
        errors.InvalidMessageError: The object isn't a valid record, or it is
            that of a daemon of another name.
    """
    try:
        record = _DECODER.decode(stored.value)
        _check(record)
    except (ValueError, *frames.DECODING_ERRORS) as error:
        raise errors.InvalidMessageError(
            f"record can't be decoded ({error}): only daemons write this kind"
        ) from error
    if record.statement.daemon != stored.name:
        raise errors.InvalidMessageError(
            f"record of {record.statement.daemon} is stored under another "
            "name: only the daemon itself writes its record"
        )
    return record


def _check(record: Record) -> None:
    """Raises ValueError if a record has a value that no daemon states."""
    statement = record.statement
    if not _HOST.fullmatch(statement.host):
        raise ValueError("host isn't a host")
    if not 1 <= statement.port <= _MAX_PORT:
        raise ValueError(f"port isn't from 1 to {_MAX_PORT}")
    counts = [
        statement.boot,
        statement.serial,
        statement.slots,
        statement.born_ms,
        record.born_ms,
        record.sequence,
    ]
    for report in record.suspects:
        counts += [report.crashes, report.last_ms]
    if min(counts) < 0 or max(counts) > MAX_COUNT:
        raise ValueError(f"a number isn't from 0 to {MAX_COUNT}")


def stored_state(record: Record) -> backend.StoredState:
    """Returns the backend server's state as stored in a record."""
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
    """Writes this daemon's record to the store after each change."""

    def __init__(self, name: str, client: store.Store, rng: random.Random):
        self._name = name
        self._store = client
        self._backoff = _create_backoff(rng)
        self._wanted: Record | None = None
        self._revision: int | None = None
        self._era = 0
        self._stored: Record | None = None
        self._changed = asyncio.Event()
        self._waiters: list[asyncio.Future] = []
        self._reachable = True
        self._removed = False

    @property
    def up_to_date(self) -> bool:
        """Whether the newest record is stored."""
        return self._wanted is not None and self._stored == self._wanted

    async def restore(self) -> Record | sentinels.Absence:
        """Returns the record that an earlier start of this daemon wrote.

        Raises:
            errors.PlatformUnavailableError: The store didn't respond.
            errors.InvalidMessageError: The record can't be decoded.
        """
        stored_object = await self._store.get(store.DAEMONS, self._name)
        if isinstance(stored_object, sentinels.Absence):
            return stored_object
        self._revision = stored_object.revision
        return decode(stored_object)

    def publish(self, record: Record) -> None:
        """Schedules a record to be written by `run`, unless it is removed."""
        if self._removed:
            return
        self._wanted = record
        self._changed.set()

    async def wait(self, timeout_s: float) -> bool:
        """Waits until the newest record is stored; returns false on timeout."""
        if self.up_to_date:
            return True
        future = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return False
        return True

    def note_listed(self, found: store.StoredObject | None, era: int) -> bool:
        """Compares the record with what a complete listing has.

        Args:
            found: The listed record; None if it isn't there.
            era: Era of the listing.

        Returns:
            Whether the store lost what was written, or another writer replaced
            it; the caller then publishes a newer record.
        """
        if self._stored is None:
            return False
        if found is None:
            self._era = era
            self._revision = None
            self._stored = None
            return True
        if era <= self._era:
            return self.note_changed(found)
        # The store came back from an older copy.
        self._era = era
        self._revision = found.revision
        try:
            self._stored = decode(found)
        except errors.InvalidMessageError as error:
            _log.warning("own_record_invalid", error=str(error))
            self._stored = None
        return not self.up_to_date

    def note_changed(self, found: store.StoredObject) -> bool:
        """Compares the record with a change of it.

        Returns:
            Whether another writer replaced it; the caller then publishes a
            newer record.
        """
        if self._stored is None or found.revision <= self._revision:
            return False
        if self._is_own(found):
            return False
        _log.warning("own_record_replaced", revision=found.revision)
        self._revision = found.revision
        self._stored = None
        return True

    def _is_own(self, found: store.StoredObject) -> bool:
        """Returns whether this start wrote a record, perhaps a moment ago."""
        try:
            statement = decode(found).statement
        except errors.InvalidMessageError:
            return False
        newest = self._wanted.statement if self._wanted else statement
        return (
            statement.boot == newest.boot and statement.serial <= newest.serial
        )

    def note_deleted(self) -> bool:
        """Forgets the record that another daemon has deleted.

        Returns:
            Whether it was stored; the caller then publishes a newer one, since
            other daemons ignore the statement of a daemon that was removed.
        """
        was_stored = self._stored is not None
        if was_stored:
            self._revision = None
            self._stored = None
            self._changed.set()
        return was_stored

    async def run(self) -> None:
        """Writes published records until cancelled."""
        while True:
            await self._changed.wait()
            await asyncio.sleep(_WRITE_DELAY_S)
            self._changed.clear()
            while self._wanted is not None and self._stored != self._wanted:
                wanted = self._wanted
                try:
                    await self._write(wanted)
                except errors.PlatformUnavailableError as error:
                    self._note_failure(error)
                    await asyncio.sleep(
                        min(_MAX_BACKOFF_S, self._backoff.fail())
                    )
                    continue
                self._note_success(wanted)

    async def remove(self) -> None:
        """Deletes the record at shutdown, without retries."""
        self._wanted = None
        self._removed = True
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
            # Either the response to an earlier write was lost, or another
            # daemon deleted the record.
            stored_object = await self._store.get(store.DAEMONS, self._name)
            self._revision = stored_object.revision if stored_object else None
            await self._retry_put(value)

    async def _retry_put(self, value: bytes) -> None:
        try:
            await self._put(value)
        except errors.ConflictError as error:
            raise errors.PlatformUnavailableError(
                f"record of {self._name} was changed by another writer "
                f"({error}): give each daemon a unique name"
            ) from error

    async def _put(self, value: bytes) -> None:
        if self._revision is None:
            written = await self._store.create(store.DAEMONS, self._name, value)
        else:
            written = await self._store.replace(
                store.DAEMONS, self._name, value, self._revision
            )
        self._revision = written.revision
        self._era = self._store.era

    def _note_failure(self, error: errors.PlatformUnavailableError) -> None:
        if self._reachable:
            _log.warning("store_lost", error=str(error))
        self._reachable = False

    def _note_success(self, record: Record) -> None:
        if not self._reachable:
            _log.info("store_regained")
        self._reachable = True
        self._backoff.reset()
        self._stored = record
        _log.info(
            "record_kept",
            state=record.statement.state,
            instance=record.statement.instance,
            serial=record.statement.serial,
            revision=self._revision,
        )
        if self.up_to_date:
            waiting, self._waiters = self._waiters, []
            for future in waiting:
                if not future.done():
                    future.set_result(None)


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
        self._backoff = _create_backoff(rng)
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

    def note_error(self) -> None:
        """Notes that an unexpected error has ended `run`."""
        self._reachable = False
        self._established = False

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


def _create_backoff(rng: random.Random) -> budget.Backoff:
    return budget.create_backoff(rng)
