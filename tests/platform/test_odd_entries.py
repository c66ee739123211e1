"""An odd entry of another writer spoils nothing but itself."""

import asyncio
import contextlib
import json

import hypothesis
import msgspec
import pytest
from aiohttp import web

from savorybend.internal import errors
from savorybend.platform import jsonparts
from savorybend.platform import objects
from savorybend.relay import bytebudget
from savorybend.relay import framedecoder
from savorybend.relay import frames
from savorybend.relay import presence
from savorybend.relay import settings
from savorybend.relay import store
from savorybend.relay import traffic
from standins import objects as standin
from tests.platform import oddentries

_KIND = "savorybend-daemons"
_TIMEOUT_S = 3.0


@contextlib.asynccontextmanager
async def _running():
    kept = standin.Store()
    runner = web.AppRunner(standin.create_app(kept), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = settings.Address("127.0.0.1", runner.addresses[0][1])
    client = objects.create_client(
        address, traffic.create_traffic(), bytebudget.create_budget(1 << 28)
    )
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            yield kept, client
    finally:
        await runner.cleanup()


async def _leave(kept, raw, name=oddentries.NAME):
    await kept.write(_KIND, standin.Stored(name, 0, 0, raw=raw))


def _parametrize(found):
    return pytest.mark.parametrize("raw", found.values(), ids=found.keys())


def _names(listing):
    return [one.name for one in listing.objects]


def _others(listing):
    return [name for name in _names(listing) if name in ("a", "p", "z")]


_NAMED = {
    **oddentries.with_odd_specs(),
    **oddentries.with_odd_rest(),
    **oddentries.without_a_revision(),
}


@_parametrize(_NAMED)
async def test_the_other_entries_are_listed_and_watched(raw):
    async with _running() as (kept, client):
        start = await client.list(store.DAEMONS)
        await client.create(store.DAEMONS, "a", b"1")
        await _leave(kept, raw)
        await client.create(store.DAEMONS, "p", b"1")
        # The odd one is the last of a page, and then alone on one.
        for page in (2, 1, 500):
            kept.page = page
            assert _others(await client.list(store.DAEMONS)) == ["a", "p"]
        changes = await client.watch(store.DAEMONS, start.revision, 1.0)
        assert _others(changes) == ["a", "p"]
        await client.create(store.DAEMONS, "z", b"1")
        changes = await client.watch(store.DAEMONS, changes.revision, 1.0)
        assert _others(changes) == ["z"]


@_parametrize({**oddentries.with_odd_specs(), **oddentries.with_odd_rest()})
async def test_an_odd_entry_with_a_name_and_a_revision_can_be_removed(raw):
    async with _running() as (kept, client):
        await _leave(kept, raw)
        found = await client.get(store.DAEMONS, oddentries.NAME)
        await client.delete(store.DAEMONS, found.name, found.revision)
        assert not (await client.list(store.DAEMONS)).objects


@_parametrize(
    {**oddentries.without_a_revision(), **oddentries.without_a_name()}
)
async def test_an_entry_without_a_name_or_a_revision_is_passed_over(raw):
    async with _running() as (kept, client):
        await client.create(store.DAEMONS, "a", b"1")
        await _leave(kept, raw)
        await client.create(store.DAEMONS, "p", b"1")
        for page in (2, 500):
            kept.page = page
            assert _names(await client.list(store.DAEMONS)) == ["a", "p"]
        changes = await client.watch(store.DAEMONS, 1, 1.0)
        assert _names(changes) == ["a", "p"]


@_parametrize(oddentries.without_a_name())
async def test_a_page_without_any_name_ends_the_listing(raw):
    # The first page was read again, 10,000 times.
    async with _running() as (kept, client):
        await _leave(kept, raw)
        await client.create(store.DAEMONS, "p", b"1")
        kept.page = 1
        with pytest.raises(errors.PlatformUnavailableError):
            await client.list(store.DAEMONS)
        assert kept.calls["GET"] == 1


_OBJECT = {
    "metadata": {"name": "odd", "revision": 3, "finalizers": []},
    "spec": json.loads(oddentries.record()),
    "status": None,
}


@hypothesis.settings(max_examples=200)
@hypothesis.given(raw=oddentries.documents(_OBJECT))
def test_a_listing_is_valid_or_raises_the_error_of_the_client(raw):
    async def read():
        async with _running() as (kept, client):
            await client.create(store.DAEMONS, "a", b"1")
            await _leave(kept, raw)
            return [
                await client.list(store.DAEMONS),
                await client.watch(store.DAEMONS, 1, 1.0),
            ]

    try:
        listings = asyncio.run(read())
    except errors.PlatformUnavailableError:
        # Only bytes that leave a bracket or a text open spoil an answer.
        assert not _is_balanced(raw)
        return
    for listing in listings:
        assert "a" in _names(listing)
        for found in listing.objects:
            assert found.name
            assert 0 <= found.revision < 1 << 63
            position = frames.Position(0, listing.revision)
            assert frames.encode(frames.Records(None, position, [found], []))


def _is_balanced(raw):
    try:
        return len(jsonparts.elements(b"[%s,1]" % raw)) == 2
    except ValueError:
        return False


@pytest.mark.parametrize(
    "name", ["a/b", "../config/main", "a\0b", "ä b?c=d#e%2f", "x" * 2000]
)
async def test_an_entry_is_read_and_removed_by_its_own_name_only(name):
    # A name with "../" led to an object of another kind.
    async with _running() as (kept, client):
        await client.create(store.CONFIGURATION, "main", b"1")
        await kept.write(_KIND, standin.Stored(name, 0, 0))
        (found,) = (await client.list(store.DAEMONS)).objects
        assert found.name == name
        again = await client.get(store.DAEMONS, name)
        assert again == found
        await client.delete(store.DAEMONS, name, found.revision)
        assert not (await client.list(store.DAEMONS)).objects
        assert await client.get(store.CONFIGURATION, "main")


def _stored(value):
    return store.StoredObject(oddentries.NAME, 1, value)


@_parametrize(oddentries.records())
def test_a_record_that_names_no_daemon_to_use_is_refused(raw):
    with pytest.raises(errors.InvalidMessageError):
        presence.decode(_stored(raw))


def test_the_record_that_the_odd_ones_are_made_from_is_valid():
    record = presence.decode(_stored(oddentries.record()))
    assert record.statement.daemon == oddentries.NAME


@pytest.mark.parametrize("depth", [1_000, 100_000])
def test_a_deep_message_of_a_peer_is_refused_as_any_other(depth):
    # RecursionError went past the handler that logs and ends the connection.
    payload = msgspec.msgpack.encode(frames.Cancel(1))
    deep = b"\x93" + payload[1:] + b"\x91" * depth + b"\xc0"
    message = len(deep).to_bytes(4) + deep
    with pytest.raises(errors.InvalidMessageError):
        list(framedecoder.FrameDecoder().feed(message))
