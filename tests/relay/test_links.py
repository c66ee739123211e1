"""Outcomes of calls when the connection that carries them is lost."""

import asyncio
import contextlib
import itertools

import pytest

from savorybend.internal import timers
from savorybend.relay import links
from savorybend.relay import outcomes
from savorybend.relay import peerserver
from savorybend.relay import traffic
from tests.relay import samples

_LOAD = outcomes.Load(0, 0, 1, 0.0, 1.0, {})
_RAN = outcomes.Ran(200, b"", b"whole")


class _Own:
    def __init__(self, name, port, boot=1):
        self.statement = samples.statement(name, port=port, boot=boot)
        self.version = 0
        self.load = _LOAD
        self.feed = None


class _Events:
    def on_statement(self, statement, source):
        pass

    def on_version(self, link, version):
        pass

    def on_connect(self, send):
        pass

    def terms_of(self, daemon):
        return None

    def on_hello(self, hello):
        pass

    def on_feed(self, link, feed):
        pass

    def on_follow(self, message, send):
        pass

    def on_load(self, daemon, load):
        pass

    def on_control_message(self, reply, daemon, message):
        pass


class _Serving:
    """Accepts calls; the test answers them through the callbacks."""

    def __init__(self):
        self.taken = []
        self.handles = []

    def submit(self, call, callback):
        self.taken.append((call, callback))
        self.handles.append(samples.CancelHandle())
        return self.handles[-1]


class _Pair:
    """A sending and a serving daemon on a real connection."""

    def __init__(self):
        self.serving = _Serving()
        self.tasks = set()
        self.server = None
        self.peer_server = None
        self.link = None
        self.port = 0
        self.got = []
        self.transports = []

    def _parts(self, own):
        clock = timers.SystemClock()
        service = timers.create_timer_service(clock)
        return links.Dependencies(
            own,
            _Events(),
            clock,
            service,
            self.tasks,
            traffic.create_traffic(),
        )

    async def start(self, boot=1):
        loop = asyncio.get_running_loop()
        own = _Own("b", self.port, boot)
        self.peer_server = peerserver.PeerServer(self._parts(own), self.serving)
        self.server = await loop.create_server(
            self._create, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        if self.link is None:
            self.link = links.Link(
                samples.statement("b", port=self.port, boot=boot),
                self._parts(_Own("a", 1)),
                itertools.count(1),
            )
            self.link.set_persistent(True)

    def _create(self):
        stream = self.peer_server.create()
        made = stream.connection_made

        def connection_made(transport):
            self.transports.append(transport)
            made(transport)

        stream.connection_made = connection_made
        return stream

    def reset(self):
        for transport in self.transports:
            transport.abort()
        self.transports.clear()

    async def stop_serving(self):
        self.server.close()
        self.reset()
        await asyncio.sleep(0)

    def submit(self, **changes):
        clock = timers.SystemClock()
        call = samples.call(deadline_s=clock.now_s() + 5.0, **changes)
        return self.link.submit(call, self.got.append)

    async def until(self, condition):
        async with asyncio.timeout(5.0):
            while not condition():
                self.link.tick()
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def _pair():
    pair = _Pair()
    await pair.start()
    try:
        yield pair
    finally:
        pair.link.close()
        pair.server.close()
        for task in list(pair.tasks):
            task.cancel()


async def test_an_answer_that_was_ready_when_the_connection_broke_arrives():
    async with _pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.reset()
        pair.serving.taken[0][1](_RAN)
        await pair.until(lambda: pair.got)
        assert pair.got == [_RAN]
        assert len(pair.serving.taken) == 1


async def test_a_call_under_way_goes_on_over_the_next_connection():
    async with _pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.reset()
        await asyncio.sleep(0.1)
        pair.serving.taken[0][1](_RAN)
        await pair.until(lambda: pair.got)
        assert pair.got == [_RAN]


async def test_what_a_restarted_daemon_had_may_have_run():
    async with _pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        await pair.stop_serving()
        await pair.start(boot=2)
        await pair.until(lambda: pair.got)
        assert isinstance(pair.got[0], outcomes.Lost)


async def test_what_was_never_sent_did_not_run():
    async with _pair() as pair:
        await pair.until(lambda: pair.link.connected)
        await pair.stop_serving()
        await pair.until(lambda: not pair.link.connected)
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.got)
        assert isinstance(pair.got[0], outcomes.NotRun)


async def test_a_daemon_that_was_just_not_reached_holds_no_further_call():
    # In a network partition each call waited for a connection attempt of its
    # own, 0.6 s each.
    async with _pair() as pair:
        await pair.until(lambda: pair.link.connected)
        await pair.stop_serving()
        await pair.until(lambda: pair.link.failing)
        pair.submit(idempotent=False)
        assert pair.got == [outcomes.NotRun(outcomes.UNREACHABLE)]


async def test_a_cancelled_call_is_cancelled_at_the_peer():
    async with _pair() as pair:
        handle = pair.submit()
        await pair.until(lambda: pair.serving.taken)
        handle.cancel()
        await pair.until(lambda: pair.serving.handles[0].cancelled)


async def test_calls_of_an_earlier_start_of_the_sender_are_cancelled():
    async with _pair() as pair:
        pair.submit()
        await pair.until(lambda: pair.serving.taken)
        pair.link.close()
        pair.link = links.Link(
            samples.statement("b", port=pair.port),
            pair._parts(_Own("a", 1, boot=2)),
            itertools.count(1),
        )
        pair.link.set_persistent(True)
        await pair.until(lambda: pair.serving.handles[0].cancelled)


async def test_answers_are_forgotten_once_they_are_acknowledged():
    async with _pair() as pair:
        for _ in range(20):
            pair.submit()
        await pair.until(lambda: len(pair.serving.taken) == 20)
        for _, callback in pair.serving.taken:
            callback(_RAN)
        await pair.until(lambda: not pair.peer_server._calls)
        assert pair.got == [_RAN] * 20


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
    async with _pair() as pair:
        pair.link.close()
        odd = samples.statement("b", host=host, port=port)
        pair.link = links.Link(
            odd, pair._parts(_Own("a", 1)), itertools.count()
        )
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.got)
        assert pair.got == [outcomes.NotRun(outcomes.UNREACHABLE)]
        pair.link.update(samples.statement("b", port=pair.port, boot=2))
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.serving.taken[0][1](_RAN)
        await pair.until(lambda: len(pair.got) == 2)
        assert pair.got[1] == _RAN
