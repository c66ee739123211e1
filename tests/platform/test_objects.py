"""The client follows the store's published semantics, also on failures."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from savorybend.internal import errors
from savorybend.platform import objects
from savorybend.relay import bytebudget
from savorybend.relay import settings
from savorybend.relay import store
from savorybend.relay import traffic
from standins import objects as standin


@contextlib.asynccontextmanager
async def _running():
    kept = standin.Store()
    runner = web.AppRunner(standin.create_app(kept), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    try:
        yield (
            kept,
            objects.create_client(
                settings.Address("127.0.0.1", port),
                traffic.create_traffic(),
                bytebudget.create_budget(1 << 28),
            ),
        )
    finally:
        await runner.cleanup()


async def test_what_was_created_is_read_back():
    async with _running() as (_, client):
        written = await client.create(store.DAEMONS, "a", b'{"x":1}')
        found = await client.get(store.DAEMONS, "a")
        assert found.value == b'{"x":1}' or found.value == b'{"x": 1}'
        assert found.revision == written.revision


async def test_calls_are_counted_by_operation_and_kind():
    async with _running() as (_, client):
        await client.create(store.DAEMONS, "a", b"1")
        listing = await client.list(store.DAEMONS)
        await client.watch(store.CONFIGURATION, listing.revision, 0.01)
        assert client.calls == {
            ("create", "daemons"): 1,
            ("list", "daemons"): 1,
            ("watch", "configuration"): 1,
        }


async def test_an_object_that_is_not_there_is_an_absence_with_a_reason():
    async with _running() as (_, client):
        assert await client.get(store.DAEMONS, "a") is store.NO_OBJECT


async def test_creating_twice_is_a_conflict():
    async with _running() as (_, client):
        await client.create(store.DAEMONS, "a", b"{}")
        with pytest.raises(errors.ConflictError):
            await client.create(store.DAEMONS, "a", b"{}")


async def test_replacing_another_revision_is_a_conflict():
    async with _running() as (_, client):
        first = await client.create(store.DAEMONS, "a", b"1")
        await client.replace(store.DAEMONS, "a", b"2", first.revision)
        with pytest.raises(errors.ConflictError):
            await client.replace(store.DAEMONS, "a", b"3", first.revision)


async def test_replacing_what_is_gone_is_a_conflict():
    async with _running() as (_, client):
        with pytest.raises(errors.ConflictError):
            await client.replace(store.DAEMONS, "a", b"1", 5)


async def test_deleting_another_revision_is_a_conflict():
    async with _running() as (_, client):
        first = await client.create(store.DAEMONS, "a", b"1")
        await client.replace(store.DAEMONS, "a", b"2", first.revision)
        with pytest.raises(errors.ConflictError):
            await client.delete(store.DAEMONS, "a", first.revision)


async def test_a_listing_has_all_pages():
    async with _running() as (kept, client):
        kept.page = 3
        for number in range(8):
            await client.create(store.DAEMONS, f"d{number}", b"{}")
        listing = await client.list(store.DAEMONS)
        assert [one.name for one in listing.objects] == [
            f"d{number}" for number in range(8)
        ]


async def test_a_watch_returns_what_changed_and_what_was_deleted():
    async with _running() as (_, client):
        start = await client.list(store.DAEMONS)
        first = await client.create(store.DAEMONS, "a", b"1")
        await client.create(store.DAEMONS, "b", b"2")
        await client.delete(store.DAEMONS, "a", first.revision)
        changes = await client.watch(store.DAEMONS, start.revision, 1.0)
        assert [one.name for one in changes.objects] == ["b"]
        assert changes.deleted == ("a",)


async def test_a_watch_waits_for_the_first_change():
    async with _running() as (_, client):
        start = await client.list(store.DAEMONS)
        watching = asyncio.create_task(
            client.watch(store.DAEMONS, start.revision, 5.0)
        )
        await asyncio.sleep(0.05)
        await client.create(store.DAEMONS, "a", b"1")
        assert (await watching).objects[0].name == "a"


async def test_forgotten_history_asks_for_a_new_listing():
    async with _running() as (kept, client):
        start = await client.list(store.DAEMONS)
        await client.create(store.DAEMONS, "a", b"1")
        kept.forget()
        with pytest.raises(store.HistoryGoneError):
            await client.watch(store.DAEMONS, start.revision, 0.1)


@pytest.mark.parametrize("trouble", ["busy", "many", "reset"])
async def test_a_failure_of_the_store_raises_platform_unavailable(trouble):
    async with _running() as (kept, client):
        kept.trouble = standin.Trouble(trouble)
        with pytest.raises(errors.PlatformUnavailableError):
            await client.get(store.DAEMONS, "a")
        kept.trouble = standin.Trouble.NONE
        assert await client.get(store.DAEMONS, "a") is store.NO_OBJECT


async def test_a_write_whose_answer_is_lost_may_have_been_done():
    async with _running() as (kept, client):
        kept.trouble = standin.Trouble.LOST
        with pytest.raises(errors.PlatformUnavailableError):
            await client.create(store.DAEMONS, "a", b"1")
        kept.trouble = standin.Trouble.NONE
        assert (await client.get(store.DAEMONS, "a")).value == b"1"


async def test_objects_of_another_writer_are_passed_over():
    async with _running() as (kept, client):
        await client.create(store.DAEMONS, "a", b"1")
        stranger = standin.Stored("b", 0, 0)
        await kept.write("savorybend-daemons", stranger)
        stranger.revision = "not a number"
        listing = await client.list(store.DAEMONS)
        assert [one.name for one in listing.objects] == ["a"]


async def test_a_deletion_waits_for_finalizers():
    async with _running() as (kept, client):
        first = await client.create(store.DAEMONS, "a", b"1")
        kept.get("savorybend-daemons", "a").finalizers = ["somebody"]
        await client.delete(store.DAEMONS, "a", first.revision)
        assert await client.get(store.DAEMONS, "a")


async def test_a_watch_from_a_revision_of_an_earlier_era_lists_again():
    async with _running() as (kept, client):
        kept.take_copy()
        await client.create(store.DAEMONS, "a", b"1")
        listing = await client.list(store.DAEMONS)
        await kept.return_to_copy()
        for name in "bcd":
            await kept.write("savorybend-daemons", standin.Stored(name, 0, 0))
        with pytest.raises(store.HistoryGoneError):
            await client.watch(
                store.DAEMONS, listing.revision, 0.01, listing.era
            )
        again = await client.list(store.DAEMONS)
        assert again.era == listing.era + 1
        assert {found.name for found in again.objects} == set("bcd")


async def test_an_answer_of_an_earlier_era_is_not_believed():
    async with _running() as (kept, client):
        kept.era = 3
        await client.list(store.DAEMONS)
        kept.era = 2
        with pytest.raises(errors.PlatformUnavailableError):
            await client.list(store.DAEMONS)
        assert client.era == 3


@pytest.mark.parametrize("digits", [18, 30, 5000])
async def test_an_odd_era_is_none(digits):
    # Daemons send eras to each other as integers of 64 bits.
    async with _running() as (kept, client):
        kept.era = "1" * digits
        listing = await client.list(store.DAEMONS)
        assert listing.era == (int("1" * digits) if digits == 18 else 0)
