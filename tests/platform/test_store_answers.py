"""Each call to the store gets its own answer, whatever the store writes."""

import asyncio
import contextlib
import json

import pytest

from savorybend.internal import errors
from savorybend.platform import objects
from savorybend.relay import bytebudget
from savorybend.relay import settings
from savorybend.relay import store
from savorybend.relay import traffic

_HEAD_END = b"\r\n\r\n"


class _StutteringStore:
    """Answers in order, and writes each answer once more to its connection.

    Attributes:
        answers: The answers to come, of all connections.
        copy: Returns what is written once more, as the next request arrives.
        ends: Whether it closes a connection after an answer.
        connections: Number of connections so far.
    """

    def __init__(self):
        self.answers = []
        self.copy = lambda answer: answer
        self.ends = False
        self.connections = 0
        self._serving = {}

    @property
    def open(self):
        """Number of connections that aren't closed."""
        return sum(not task.done() for task in self._serving)

    async def stop(self):
        """Closes all connections."""
        for writer in self._serving.values():
            writer.transport.abort()
        await asyncio.gather(*self._serving)

    async def serve(self, reader, writer):
        """Serves a connection."""
        self._serving[asyncio.current_task()] = writer
        self.connections += 1
        earlier = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await _read_request(reader)
                writer.write(self.copy(earlier))
                if not self.answers:
                    break
                earlier = self.answers.pop(0)
                writer.write(earlier)
                if self.ends:
                    break
        writer.close()


async def _read_request(reader):
    head = await reader.readuntil(_HEAD_END)
    _, _, rest = head.lower().partition(b"content-length: ")
    await reader.readexactly(int(rest.split(b"\r\n")[0]))


def _answer(status, content):
    body = json.dumps(content).encode()
    return (
        b"HTTP/1.1 %d Some Reason\r\nServer: store\r\nStore-Era: 1\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (status, len(body), body)
    )


def _object(name, revision):
    return {"metadata": {"name": name, "revision": revision}, "spec": 1}


def _page(revision, *names):
    items = [_object(name, revision) for name in names]
    return _answer(200, {"items": items, "storeRevision": revision})


def _events(revision, *names):
    events = [{"object": _object(name, revision)} for name in names]
    return _answer(200, {"events": events, "storeRevision": revision})


@contextlib.asynccontextmanager
async def _running(*answers):
    stuttering = _StutteringStore()
    stuttering.answers.extend(answers)
    server = await asyncio.start_server(stuttering.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    address = settings.Address("127.0.0.1", port)
    client = objects.create_client(
        address, traffic.create_traffic(), bytebudget.create_budget(1 << 28)
    )
    try:
        yield stuttering, client
    finally:
        server.close()
        await stuttering.stop()


async def test_an_earlier_watch_written_once_more_is_not_the_next_one():
    async with _running(_events(7, "a"), _events(8, "b")) as (_, client):
        await client.watch(store.DAEMONS, 6, 1.0)
        changes = await client.watch(store.DAEMONS, 7, 1.0)
    assert (changes.revision, changes.objects[0].name) == (8, "b")


async def test_a_list_of_one_kind_written_once_more_is_none_of_another():
    async with _running(_page(7, "main"), _page(8, "a")) as (_, client):
        await client.list(store.CONFIGURATION)
        listing = await client.list(store.DAEMONS)
    assert [one.name for one in listing.objects] == ["a"]


async def test_an_earlier_page_written_once_more_is_not_the_next_one():
    first = _answer(
        200, {"items": [_object("a", 7)], "storeRevision": 7, "hasMore": True}
    )
    async with _running(first, _page(7, "b")) as (_, client):
        listing = await client.list(store.DAEMONS)
    assert [one.name for one in listing.objects] == ["a", "b"]


async def test_an_earlier_success_written_once_more_hides_no_conflict():
    written = _answer(200, _object("a", 7))
    conflict = _answer(409, _object("a", 9))
    async with _running(written, conflict) as (_, client):
        await client.create(store.DAEMONS, "a", b"1")
        with pytest.raises(errors.ConflictError):
            await client.replace(store.DAEMONS, "a", b"2", 7)


async def test_an_earlier_conflict_written_once_more_refuses_no_write():
    conflict = _answer(409, _object("a", 9))
    written = _answer(200, _object("a", 10))
    async with _running(conflict, written) as (_, client):
        with pytest.raises(errors.ConflictError):
            await client.replace(store.DAEMONS, "a", b"2", 7)
        found = await client.replace(store.DAEMONS, "a", b"2", 9)
    assert found.revision == 10


async def test_an_earlier_absence_written_once_more_is_not_the_next_one():
    absence = _answer(404, {})
    async with _running(absence, _answer(200, _object("a", 7))) as (_, client):
        assert await client.get(store.DAEMONS, "a") is store.NO_OBJECT
        found = await client.get(store.DAEMONS, "a")
    assert found.revision == 7


async def test_an_earlier_answer_broken_off_at_any_byte_gives_no_status():
    conflict = _answer(409, _object("a", 9))
    written = _answer(200, _object("a", 10))
    for cut in range(len(conflict)):
        async with _running(conflict, written) as (stuttering, client):
            stuttering.copy = lambda one, cut=cut: one[:cut]
            with pytest.raises(errors.ConflictError):
                await client.replace(store.DAEMONS, "a", b"2", 7)
            found = await client.replace(store.DAEMONS, "a", b"2", 9)
            assert found.revision == 10


async def test_an_answer_broken_off_at_any_byte_is_no_answer():
    written = _answer(200, _object("a", 10))
    for cut in range(1, len(written)):
        async with _running(written[:cut]) as (stuttering, client):
            stuttering.ends = True
            with pytest.raises(errors.PlatformUnavailableError):
                await client.replace(store.DAEMONS, "a", b"2", 9)


async def test_calls_in_turn_leave_no_connection_open():
    pages = [_page(7, "a") for _ in range(20)]
    async with _running(*pages) as (stuttering, client):
        for _ in range(20):
            await client.list(store.DAEMONS)
        await asyncio.sleep(0.05)
        assert (stuttering.connections, stuttering.open) == (20, 0)
