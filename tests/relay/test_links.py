"""Outcomes of calls when the connection that carries them is lost."""

import asyncio
import contextlib
import itertools

import pytest

from savorybend.internal import timers
from savorybend.relay import backgroundtasks
from savorybend.relay import frames
from savorybend.relay import linkinterfaces
from savorybend.relay import links
from savorybend.relay import outcomes
from savorybend.relay import peerserver
from savorybend.relay import streams
from savorybend.relay import traffic
from tests.relay import samples

_LOAD = outcomes.Load(0, 0, 1, 0.0, 1.0, {})
_RAN = outcomes.Ran(200, b"", b"whole")
_FAILED = outcomes.Ran(500, b"", b"failed")


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


def _parts(own, tasks):
    clock = timers.SystemClock()
    return linkinterfaces.Dependencies(
        own,
        _Events(),
        clock,
        timers.create_timer_service(clock),
        tasks.start,
        traffic.create_traffic(),
    )


class _Pair:
    """A sending and a serving daemon on a real connection."""

    def __init__(self):
        self.serving = _Serving()
        self.tasks = backgroundtasks.create_background_tasks()
        self.server = None
        self.peer_server = None
        self.link = None
        self.port = 0
        self.sender = _Own("a", 1)
        self.got = []
        self.transports = []

    def _parts(self, own):
        return _parts(own, self.tasks)

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
                self._parts(self.sender),
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

    def restart_sender(self):
        """Replaces the sending daemon by its next start."""
        # Its calls end with the process, and it doesn't connect again.
        self.link._sent.clear()
        self.link.close()
        self.link = links.Link(
            samples.statement("b", port=self.port),
            self._parts(_Own("a", 1, boot=2)),
            itertools.count(1),
        )
        self.link.set_persistent(True)

    def submit(self, **changes):
        return _submit(self.link, self.got, **changes)

    async def until(self, condition):
        await _until(self.link, condition)


def _submit(link, got, **changes):
    """Submits a call whose outcome is appended to a list."""
    clock = timers.SystemClock()
    call = samples.call(deadline_s=clock.now_s() + 5.0, **changes)
    return link.submit(call, got.append)


async def _until(link, condition):
    async with asyncio.timeout(5.0):
        while not condition():
            link.tick()
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
        pair.tasks.cancel()


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
        pair.restart_sender()
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


async def test_an_outcome_of_an_earlier_start_answers_no_call_of_its_number():
    async with _pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.restart_sender()
        pair.submit(idempotent=False)
        await pair.until(lambda: len(pair.serving.taken) == 2)
        pair.serving.taken[0][1](_RAN)
        pair.serving.taken[1][1](_FAILED)
        await pair.until(lambda: pair.got)
        await asyncio.sleep(0.05)
        assert pair.got == [_FAILED]


async def test_an_outcome_of_an_earlier_start_ends_no_call_of_its_number():
    # Numbers begin anew, and the call that had the number was forgotten.
    async with _pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.restart_sender()
        pair.submit(idempotent=False)
        await pair.until(lambda: len(pair.serving.taken) == 2)
        pair.serving.taken[0][1](_RAN)
        pair.peer_server.sweep()
        assert pair.peer_server.busy == 1
        pair.reset()
        await asyncio.sleep(0.1)
        pair.serving.taken[1][1](_FAILED)
        await pair.until(lambda: pair.got)
        assert pair.got == [_FAILED]


async def test_a_sender_that_learns_of_a_later_boot_is_promised_nothing():
    # The clock was set back before its start, and the store says so.
    async with _pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.sender.statement = samples.statement("a", port=1, boot=9)
        pair.reset()
        await pair.until(lambda: pair.got)
        assert pair.got == [outcomes.Lost(outcomes.DAEMON_LOST)]


async def _greet(port, *boots):
    """Greets a peer server as starts of the sender, on new connections."""
    loop = asyncio.get_running_loop()
    greeting = []
    for boot in boots:
        _, stream = await loop.create_connection(
            lambda: streams.Stream(
                lambda *said: None, lambda ended: None, traffic.create_traffic()
            ),
            "127.0.0.1",
            port,
        )
        stream.send(frames.Hello(samples.statement("a", boot=boot), 0))
        greeting.append(stream)
    for stream in greeting:
        stream._flush()


async def test_a_late_greeting_of_an_earlier_start_makes_no_run_unrun():
    # A greeting that was lost on its way is sent again by the kernel, also
    # after its process has ended.
    async with _pair() as pair:
        pair.restart_sender()
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        await _greet(pair.port, 1)
        await pair.until(lambda: pair.got)
        assert pair.got == [outcomes.Lost(outcomes.DAEMON_LOST)]
        assert len(pair.serving.taken) == 1


async def test_late_greetings_of_two_earlier_starts_make_no_run_unrun():
    async with _pair() as pair:
        pair.sender.statement = samples.statement("a", port=1, boot=9)
        pair.reset()
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        await _greet(pair.port, 1, 2)
        await pair.until(lambda: pair.got)
        assert pair.got == [outcomes.Lost(outcomes.DAEMON_LOST)]


async def test_an_answered_call_of_an_earlier_start_ends_none_of_its_number():
    # The sweep removed the call that had the number by then.
    async with _pair() as pair:
        pair.submit(idempotent=False)
        await pair.until(lambda: pair.serving.taken)
        pair.serving.taken[0][1](_RAN)
        await pair.until(lambda: pair.got)
        pair.restart_sender()
        pair.submit(idempotent=False)
        await pair.until(lambda: len(pair.serving.taken) == 2)
        pair.peer_server.sweep()
        assert pair.peer_server.busy == 1
        pair.serving.taken[1][1](_FAILED)
        await pair.until(lambda: len(pair.got) == 2)
        assert pair.got == [_RAN, _FAILED]


async def test_an_acknowledged_answer_behind_a_retained_one_is_released():
    # The list of finished calls kept its body.
    async with _pair() as pair:
        for _ in range(2):
            pair.submit()
        await pair.until(lambda: len(pair.serving.taken) == 2)
        for _, callback in pair.serving.taken:
            callback(_RAN)
        await pair.until(lambda: len(pair.got) == 2)
        first, second = pair.peer_server._finished
        pair.peer_server._forget(second[0])
        pair.peer_server.sweep()
        assert [one.outcome for _, one in pair.peer_server._finished] == [
            _RAN,
            None,
        ]
        assert first[1].outcome == _RAN


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
            _parts(_Own("a", 1), self.tasks),
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
        stream.send(frames.Done(number, outcome, _LOAD))
        stream._flush()

    async def until_said(self, kind, count=1):
        """Waits until the link said this often."""
        await _until(
            self.link,
            lambda: sum(isinstance(one, kind) for one in self.said) >= count,
        )

    def _create(self):
        stream = streams.Stream(
            self._on_message, lambda ended: None, traffic.create_traffic()
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
        _submit(peer.link, first)
        _submit(peer.link, second)
        await peer.until_said(frames.Run, 2)
        [stream] = peer.streams
        peer.answer(stream, 1, _RAN)
        peer.answer(stream, 1, _RAN)
        peer.answer(stream, 2, _FAILED)
        await _until(peer.link, lambda: second)
        assert (first, second) == ([_RAN], [_FAILED])


async def test_a_late_outcome_of_a_cancelled_call_answers_no_other():
    async with _raw_peer() as peer:
        first, second = [], []
        handle = _submit(peer.link, first)
        await peer.until_said(frames.Run)
        handle.cancel()
        _submit(peer.link, second)
        await peer.until_said(frames.Run, 2)
        [stream] = peer.streams
        peer.answer(stream, 1, _RAN)
        peer.answer(stream, 2, _FAILED)
        await _until(peer.link, lambda: second)
        assert (first, second) == ([], [_FAILED])


async def test_an_outcome_on_a_connection_that_was_given_up_is_not_read():
    async with _raw_peer() as peer:
        got = []
        _submit(peer.link, got, idempotent=False)
        await peer.until_said(frames.Run)
        moved = samples.statement("b", port=await peer.listen(), serial=2)
        peer.link.update(moved)
        peer.answer(peer.streams[0], 1, _RAN)
        await peer.until_said(frames.Resume)
        peer.answer(peer.streams[1], 1, _FAILED)
        await _until(peer.link, lambda: got)
        await asyncio.sleep(0.05)
        assert got == [_FAILED]


async def test_an_outcome_said_again_after_a_resume_answers_one_call():
    async with _raw_peer() as peer:
        first, second = [], []
        _submit(peer.link, first)
        await peer.until_said(frames.Run)
        peer.streams[0].abort()
        await peer.until_said(frames.Resume)
        _submit(peer.link, second)
        await peer.until_said(frames.Run, 2)
        for _ in range(2):
            peer.answer(peer.streams[1], 1, _RAN)
        peer.answer(peer.streams[1], 2, _FAILED)
        await _until(peer.link, lambda: second)
        assert (first, second) == ([_RAN], [_FAILED])


async def test_an_outcome_of_an_earlier_start_of_a_peer_is_not_believed():
    async with _raw_peer() as peer:
        first, second = [], []
        _submit(peer.link, first, idempotent=False)
        await peer.until_said(frames.Run)
        peer.boot = 2
        peer.streams[0].abort()
        await _until(peer.link, lambda: first)
        _submit(peer.link, second, idempotent=False)
        await peer.until_said(frames.Run, 2)
        peer.answer(peer.streams[1], 1, _RAN)
        peer.answer(peer.streams[1], 2, _FAILED)
        await _until(peer.link, lambda: second)
        assert first == [outcomes.Lost(outcomes.DAEMON_LOST)]
        assert second == [_FAILED]


async def test_an_outcome_of_a_call_that_is_not_sent_is_not_believed():
    async with _raw_peer() as peer:
        peer.before_greeting = [frames.Done(1, _FAILED, _LOAD)]
        got = []
        _submit(peer.link, got)
        await peer.until_said(frames.Run)
        peer.answer(peer.streams[0], 1, _RAN)
        await _until(peer.link, lambda: got)
        assert got == [_RAN]


async def _outcomes_after(written):
    """Returns the outcomes of a call whose first connection ends after data.

    Its outcome on the next connection is `_FAILED`.
    """
    async with _raw_peer() as peer:
        got = []
        _submit(peer.link, got)
        await peer.until_said(frames.Run)
        peer.streams[0]._transport.write(written)
        peer.streams[0].close()
        await peer.until_said(frames.Resume)
        peer.answer(peer.streams[1], 1, _FAILED)
        await _until(peer.link, lambda: got)
        return got


async def test_an_outcome_broken_off_with_its_connection_answers_nothing():
    whole = frames.encode(frames.Done(1, _RAN, _LOAD))
    for cut in range(1, len(whole)):
        assert await _outcomes_after(whole[:cut]) == [_FAILED]


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
