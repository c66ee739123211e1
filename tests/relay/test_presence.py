"""Records are stored despite conflicts, lost responses and deletions."""

import asyncio
import random

import msgspec
import pytest

from savorybend.internal import errors
from savorybend.relay import presence
from savorybend.relay import store
from tests.relay import samples


class _Store:
    """A store of one object that fails as the test configures."""

    def __init__(self):
        self.stored = None
        self.revision = 0
        self.calls_to_fail = 0
        self.responses_to_lose = 0
        self.writes = 0
        self.era = 0

    def _fail_if_told(self):
        if self.calls_to_fail:
            self.calls_to_fail -= 1
            raise errors.PlatformUnavailableError("down")

    def _write(self, value):
        self.writes += 1
        self.revision += 1
        self.stored = store.StoredObject("a", self.revision, value)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise errors.PlatformUnavailableError("answer lost")
        return self.stored

    async def get(self, kind, name):
        self._fail_if_told()
        return self.stored or store.NO_OBJECT

    async def create(self, kind, name, value):
        self._fail_if_told()
        if self.stored is not None:
            raise errors.ConflictError("there is one")
        return self._write(value)

    async def replace(self, kind, name, value, expected):
        self._fail_if_told()
        if self.stored is None or self.stored.revision != expected:
            raise errors.ConflictError("another revision")
        return self._write(value)

    async def delete(self, kind, name, expected):
        self.stored = None


def _record(serial=1):
    return presence.Record(samples.statement("a", serial=serial), "ready", 5, 1)


async def _publish(client, *records, on_stored=None):
    publisher = presence.Publisher("a", client, random.Random(1))
    writer = asyncio.create_task(publisher.run())
    try:
        for record in records:
            publisher.publish(record)
            assert await publisher.wait(5.0)
            if on_stored is not None:
                on_stored(publisher)
    finally:
        writer.cancel()
    return presence.decode(client.stored)


async def test_each_change_is_stored():
    client = _Store()
    assert await _publish(client, _record(1), _record(2)) == _record(2)
    assert client.writes == 2


async def test_record_of_an_earlier_start_is_replaced():
    client = _Store()
    client._write(b"{}")
    assert await _publish(client, _record(1)) == _record(1)


async def test_write_is_retried_after_a_lost_response():
    client = _Store()
    client.responses_to_lose = 1
    assert await _publish(client, _record(1)) == _record(1)


async def test_write_is_retried_while_the_store_is_down():
    client = _Store()
    client.calls_to_fail = 2
    assert await _publish(client, _record(1)) == _record(1)


async def test_deleted_record_is_written_again():
    client = _Store()
    publisher = presence.Publisher("a", client, random.Random(1))
    writer = asyncio.create_task(publisher.run())
    publisher.publish(_record(1))
    await publisher.wait(5.0)
    client.stored = None
    assert publisher.note_deleted()
    assert await publisher.wait(5.0)
    writer.cancel()
    assert client.stored is not None


async def test_wait_times_out_while_the_store_is_down():
    client = _Store()
    client.calls_to_fail = 1000
    publisher = presence.Publisher("a", client, random.Random(1))
    writer = asyncio.create_task(publisher.run())
    publisher.publish(_record(1))
    assert not await publisher.wait(0.1)
    writer.cancel()


def test_invalid_record_is_rejected():
    with pytest.raises(errors.InvalidMessageError):
        presence.decode(store.StoredObject("a", 1, b'{"statement":{}}'))


async def test_a_removed_record_is_not_written_again():
    client = _Store()
    publisher = presence.Publisher("a", client, random.Random(1))
    writer = asyncio.create_task(publisher.run())
    publisher.publish(_record(1))
    await publisher.wait(5.0)
    await publisher.remove()
    publisher.publish(_record(2))
    assert not await publisher.wait(0.1)
    writer.cancel()
    assert client.stored is None


async def _stored(number):
    """Returns a publisher that has stored a record, and its store."""
    client = _Store()
    publisher = presence.Publisher("a", client, random.Random(1))
    writer = asyncio.create_task(publisher.run())
    publisher.publish(_record(number))
    assert await publisher.wait(5.0)
    return publisher, client, writer


async def test_a_record_that_the_store_returned_to_is_written_again():
    publisher, client, writer = await _stored(2)
    older = store.StoredObject("a", 1, msgspec.json.encode(_record(1)))
    client.stored = older
    client.era = 1
    assert publisher.note_listed(older, 1)
    assert not publisher.up_to_date
    publisher.publish(_record(3))
    assert await publisher.wait(5.0)
    writer.cancel()


async def test_a_record_that_outlived_the_return_is_left_alone():
    publisher, client, writer = await _stored(2)
    same = store.StoredObject("a", 1, msgspec.json.encode(_record(2)))
    assert not publisher.note_listed(same, 1)
    assert publisher.up_to_date
    writer.cancel()


async def test_an_older_listing_of_the_same_era_changes_nothing():
    publisher, client, writer = await _stored(2)
    older = store.StoredObject("a", 1, msgspec.json.encode(_record(1)))
    assert not publisher.note_listed(older, 0)
    assert publisher.up_to_date
    writer.cancel()


async def test_what_is_stored_of_another_daemon_is_not_restored():
    client = _Store()
    record = presence.Record(samples.statement("b", boot=9), "ready", 5, 1)
    client._write(msgspec.json.encode(record))
    publisher = presence.Publisher("a", client, random.Random(1))
    with pytest.raises(errors.InvalidMessageError):
        await publisher.restore()


def _odd_own():
    """Returns what another writer may leave in place of a daemon's record."""
    other = presence.Record(samples.statement("b"), "ready", 5, 1)
    older = presence.Record(samples.statement("a", boot=0), "ready", 5, 1)
    newer = presence.Record(samples.statement("a", boot=9), "ready", 5, 1)
    return {
        "null": b"null",
        "deep": b"[" * 100_000,
        "another daemon's": msgspec.json.encode(other),
        "an earlier boot's": msgspec.json.encode(older),
        "a later boot's": msgspec.json.encode(newer),
        "with a later serial": msgspec.json.encode(_record(9)),
    }


@pytest.mark.parametrize("value", _odd_own().values(), ids=_odd_own())
async def test_a_record_that_another_writer_replaced_is_written_again(value):
    # Daemons that started afterwards didn't learn of this one.
    publisher, client, writer = await _stored(2)
    client._write(value)
    assert publisher.note_changed(client.stored)
    publisher.publish(_record(10))
    assert await publisher.wait(5.0)
    assert presence.decode(client.stored) == _record(10)
    assert not publisher.note_changed(client.stored)
    writer.cancel()


async def test_a_change_that_this_daemon_made_is_no_loss():
    publisher, client, writer = await _stored(2)
    for number in (1, 2):
        value = msgspec.json.encode(_record(number))
        # Its event may arrive before the answer to the write.
        found = store.StoredObject("a", client.revision + 1, value)
        assert not publisher.note_changed(found)
    assert publisher.up_to_date
    older = store.StoredObject("a", client.revision - 1, b"null")
    assert not publisher.note_changed(older)
    writer.cancel()


async def test_a_replaced_record_is_noticed_in_a_listing_too():
    publisher, client, writer = await _stored(2)
    client._write(b"null")
    assert publisher.note_listed(client.stored, 0)
    assert not publisher.up_to_date
    writer.cancel()
