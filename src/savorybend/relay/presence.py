"""Encodes the daemons' records, and publishes this daemon's to the store."""

import asyncio
import random
import re

import msgspec
import structlog

from savorybend.internal import budget
from savorybend.internal import errors
from savorybend.internal import sentinels
from savorybend.relay import backend
from savorybend.relay import frames
from savorybend.relay import store

_MAX_BACKOFF_S = 1.0
# Changes within this period are written with one call.
_WRITE_DELAY_S = 0.02
# Far above any count or time in milliseconds, and exact as a float.
MAX_COUNT = 1 << 53
_MAX_PORT = 65_535
_HOST = re.compile(r"[!-~]{1,253}")

_log = structlog.get_logger()


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
        self._backoff = budget.create_backoff(rng)
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
