"""The contract with the platform's object API, met by the stand-in."""

import contextlib

import aiohttp
import pytest
from aiohttp import web

from savorybend.internal import errors
from savorybend.internal import platform
from standins import platform as standin
from standins import site as sites

pytestmark = pytest.mark.asyncio

_KIND = "things"


@contextlib.asynccontextmanager
async def _client():
    """Yields (client, the stand-in's store)."""
    store = standin.Store()
    runner = web.AppRunner(standin.create_app(store), shutdown_timeout=0.1)
    await runner.setup()
    address = sites.AddressBook().next()
    host, _, port = address.partition(":")
    await web.TCPSite(runner, host, int(port)).start()
    try:
        async with aiohttp.ClientSession() as session:
            client = platform.create_platform(f"http://{address}", session)
            yield client, store
    finally:
        await runner.cleanup()


async def test_an_object_is_read_as_it_was_written():
    async with _client() as (client, _):
        version = await client.put(_KIND, "a", "text", platform.ABSENT)
        found = await client.get(_KIND, "a")
        assert found == platform.Object("a", version, "text")


async def test_an_object_that_is_not_there_is_said_so():
    async with _client() as (client, _):
        assert await client.get(_KIND, "a") is platform.NO_OBJECT
        await client.delete(_KIND, "a")


async def test_an_update_needs_the_version_that_is_there():
    async with _client() as (client, _):
        first = await client.put(_KIND, "a", "1", platform.ABSENT)
        second = await client.put(_KIND, "a", "2", first)
        assert second > first
        for stale in (platform.ABSENT, first):
            with pytest.raises(errors.ConflictError):
                await client.put(_KIND, "a", "3", stale)
        assert (await client.get(_KIND, "a")).value == "2"


async def test_a_deletion_may_need_the_version_that_is_there():
    async with _client() as (client, _):
        first = await client.put(_KIND, "a", "1", platform.ABSENT)
        second = await client.put(_KIND, "a", "2", first)
        with pytest.raises(errors.ConflictError):
            await client.delete(_KIND, "a", first)
        assert (await client.get(_KIND, "a")).value == "2"
        await client.delete(_KIND, "a", second)
        assert await client.get(_KIND, "a") is platform.NO_OBJECT


async def test_a_watch_tells_of_changes_and_deletions():
    async with _client() as (client, _):
        await client.put(_KIND, "a", "1", platform.ABSENT)
        listing = await client.list(_KIND)
        assert [found.name for found in listing.objects] == ["a"]
        version = await client.put(_KIND, "b", "2", platform.ABSENT)
        await client.delete(_KIND, "a")
        changed = await client.watch(_KIND, listing.version, 1.0)
        assert [found.version for found in changed.objects] == [version]
        assert changed.deleted == ("a",)


async def test_a_watch_without_news_ends_with_an_empty_listing():
    async with _client() as (client, _):
        listing = await client.list(_KIND)
        changed = await client.watch(_KIND, listing.version, 0.05)
        assert changed.objects == ()
        assert changed.version >= listing.version


# Each row: the platform's mode, whether a write takes effect all the same.
_FAULTS = (("down", False), ("silent", False), ("reply-lost", True))


@pytest.mark.parametrize(("mode", "written"), _FAULTS)
async def test_a_write_without_an_answer_is_in_doubt(mode, written):
    async with _client() as (client, store):
        store.mode = mode
        with pytest.raises(errors.PlatformUnavailableError):
            await client.put(_KIND, "a", "1", platform.ABSENT)
        store.mode = "up"
        assert bool(await client.get(_KIND, "a")) is written


@pytest.mark.parametrize("mode", ["down", "silent"])
async def test_a_read_without_an_answer_is_an_error_not_an_absence(mode):
    async with _client() as (client, store):
        await client.put(_KIND, "a", "1", platform.ABSENT)
        store.mode = mode
        with pytest.raises(errors.PlatformUnavailableError):
            await client.get(_KIND, "a")


async def test_something_else_at_the_address_is_no_platform():
    async with _client() as (_, _store), aiohttp.ClientSession() as session:
        address = sites.AddressBook().next()
        host, _, port = address.partition(":")

        async def handle(_):
            return web.Response(text="hello")

        runner = web.ServerRunner(web.Server(handle))
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        client = platform.create_platform(f"http://{address}", session)
        with pytest.raises(errors.PlatformUnavailableError, match="URL"):
            await client.list(_KIND)
        await runner.cleanup()
