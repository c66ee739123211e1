"""Each call gets the outcome that was said of it, whatever a peer says."""

import asyncio
import contextlib
import itertools

import pytest

from savorybend.relay import backgroundtasks
from savorybend.relay import frames
from savorybend.relay import links
from savorybend.relay import outcomes
from savorybend.relay import streams
from savorybend.relay import traffic
from tests.relay import linkpairs
from tests.relay import samples


class _RawPeer:
    """A peer that says what the test says; it greets by itself.

    Attributes:
        link: The link to it.
        before_greeting: Messages that it says before it greets.
        boot: Its start, which a greeting names.
        streams: Its connections so far.
        said: What the link said on any of them.
    """

    def __init__(self):
        self.boot = 1
        self.before_greeting = []
        self.streams = []
        self.said = []
        self.tasks = backgroundtasks.create_background_tasks()
        self.link = None
        self._servers = []

    async def start(self):
        """Begins to listen."""
        port = await self.listen()
        self.link = links.Link(
            samples.statement("b", port=port),
            linkpairs.create_parts(linkpairs.Own("a", 1), self.tasks),
            itertools.count(1),
        )
        self.link.set_persistent(True)

    async def listen(self):
        """Listens on another port; returns it."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self._create, "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self):
        """Ends all connections."""
        self.link.close()
        for server in self._servers:
            server.close()
        self.tasks.cancel()

    def answer(self, stream, number, outcome):
        """Writes the outcome of a call."""
        stream.send(frames.Done(number, outcome, linkpairs.LOAD))
        stream._flush()

    async def until_said(self, kind, count=1):
        """Waits until the link said this often."""
        await linkpairs.until(
            self.link,
            lambda: sum(isinstance(one, kind) for one in self.said) >= count,
        )

    def _create(self):
        stream = streams.Stream(
            self._on_message,
            lambda ended: None,
            traffic.create_traffic(),
            linkpairs.RESERVE,
        )
        self.streams.append(stream)
        return stream

    def _on_message(self, stream, message):
        self.said.append(message)
        if isinstance(message, frames.Hello):
            for one in self.before_greeting:
                stream.send(one)
            own = samples.statement("b", boot=self.boot)
            stream.send(frames.Hello(own, 0))


@contextlib.asynccontextmanager
async def _raw_peer():
    peer = _RawPeer()
    await peer.start()
    try:
        yield peer
    finally:
        peer.close()


async def test_an_outcome_said_twice_answers_one_call():
    async with _raw_peer() as peer:
        first, second = [], []
        linkpairs.submit(peer.link, first)
        linkpairs.submit(peer.link, second)
        await peer.until_said(frames.Run, 2)
        [stream] = peer.streams
        peer.answer(stream, 1, linkpairs.RAN)
        peer.answer(stream, 1, linkpairs.RAN)
        peer.answer(stream, 2, linkpairs.FAILED)
        await linkpairs.until(peer.link, lambda: second)
        assert (first, second) == ([linkpairs.RAN], [linkpairs.FAILED])


async def test_a_late_outcome_of_a_cancelled_call_answers_no_other():
    async with _raw_peer() as peer:
        first, second = [], []
        handle = linkpairs.submit(peer.link, first)
        await peer.until_said(frames.Run)
        handle.cancel()
        linkpairs.submit(peer.link, second)
        await peer.until_said(frames.Run, 2)
        [stream] = peer.streams
        peer.answer(stream, 1, linkpairs.RAN)
        peer.answer(stream, 2, linkpairs.FAILED)
        await linkpairs.until(peer.link, lambda: second)
        assert (first, second) == ([], [linkpairs.FAILED])


async def test_an_outcome_on_a_connection_that_was_given_up_is_not_read():
    async with _raw_peer() as peer:
        got = []
        linkpairs.submit(peer.link, got, idempotent=False)
        await peer.until_said(frames.Run)
        moved = samples.statement("b", port=await peer.listen(), serial=2)
        peer.link.update(moved)
        peer.answer(peer.streams[0], 1, linkpairs.RAN)
        await peer.until_said(frames.Resume)
        peer.answer(peer.streams[1], 1, linkpairs.FAILED)
        await linkpairs.until(peer.link, lambda: got)
        await asyncio.sleep(0.05)
        assert got == [linkpairs.FAILED]


async def test_an_outcome_said_again_after_a_resume_answers_one_call():
    async with _raw_peer() as peer:
        first, second = [], []
        linkpairs.submit(peer.link, first)
        await peer.until_said(frames.Run)
        peer.streams[0].abort()
        await peer.until_said(frames.Resume)
        linkpairs.submit(peer.link, second)
        await peer.until_said(frames.Run, 2)
        for _ in range(2):
            peer.answer(peer.streams[1], 1, linkpairs.RAN)
        peer.answer(peer.streams[1], 2, linkpairs.FAILED)
        await linkpairs.until(peer.link, lambda: second)
        assert (first, second) == ([linkpairs.RAN], [linkpairs.FAILED])


async def test_an_outcome_of_an_earlier_start_of_a_peer_is_not_believed():
    async with _raw_peer() as peer:
        first, second = [], []
        linkpairs.submit(peer.link, first, idempotent=False)
        await peer.until_said(frames.Run)
        peer.boot = 2
        peer.streams[0].abort()
        await linkpairs.until(peer.link, lambda: first)
        linkpairs.submit(peer.link, second, idempotent=False)
        await peer.until_said(frames.Run, 2)
        peer.answer(peer.streams[1], 1, linkpairs.RAN)
        peer.answer(peer.streams[1], 2, linkpairs.FAILED)
        await linkpairs.until(peer.link, lambda: second)
        assert first == [outcomes.Lost(outcomes.DAEMON_LOST)]
        assert second == [linkpairs.FAILED]


async def test_an_outcome_of_a_call_that_is_not_sent_is_not_believed():
    async with _raw_peer() as peer:
        peer.before_greeting = [
            frames.Done(1, linkpairs.FAILED, linkpairs.LOAD)
        ]
        got = []
        linkpairs.submit(peer.link, got)
        await peer.until_said(frames.Run)
        peer.answer(peer.streams[0], 1, linkpairs.RAN)
        await linkpairs.until(peer.link, lambda: got)
        assert got == [linkpairs.RAN]


async def _outcomes_after(written):
    """Returns the outcomes of a call whose first connection ends after data.

    Its outcome on the next connection is `linkpairs.FAILED`.
    """
    async with _raw_peer() as peer:
        got = []
        linkpairs.submit(peer.link, got)
        await peer.until_said(frames.Run)
        peer.streams[0]._transport.write(written)
        peer.streams[0].close()
        await peer.until_said(frames.Resume)
        peer.answer(peer.streams[1], 1, linkpairs.FAILED)
        await linkpairs.until(peer.link, lambda: got)
        return got


async def test_an_outcome_broken_off_with_its_connection_answers_nothing():
    whole = frames.encode(frames.Done(1, linkpairs.RAN, linkpairs.LOAD))
    for cut in range(1, len(whole)):
        assert await _outcomes_after(whole[:cut]) == [linkpairs.FAILED]


@pytest.mark.parametrize(
    ("host", "port"),
    [
        ("127.0.0.1", 70_000),
        ("127.0.0.1", -1),
        ("127.0.0.1", 10**30),
        ("127.0.0.1\0", 7000),
        ("a" * 300, 7000),
        ("..", 7000),
        ("h\u00f6st\udc00", 7000),
    ],
)
async def test_an_address_that_cannot_be_dialled_holds_no_call(host, port):
    # The attempt ended without a result: no other one was made, and calls
    # waited until their deadline, also once a later statement was valid.
    async with linkpairs.running_pair() as pair:
        pair.link.close()
        odd = samples.statement("b", host=host, port=port)
        pair.link = links.Link(
            odd, pair._parts(linkpairs.Own("a", 1)), itertools.count()
        )
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.got)
        assert pair.got == [outcomes.NotRun(outcomes.UNREACHABLE)]
        pair.link.update(samples.statement("b", port=pair.port, boot=2))
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.serving.taken[0][1](linkpairs.RAN)
        await pair.until(lambda: len(pair.got) == 2)
        assert pair.got[1] == linkpairs.RAN
