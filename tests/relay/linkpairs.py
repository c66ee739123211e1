"""A link, and the daemon at its other end."""

import asyncio
import contextlib
import itertools

from savorybend.internal import timers
from savorybend.relay import backgroundtasks
from savorybend.relay import bytebudget
from savorybend.relay import linkinterfaces
from savorybend.relay import links
from savorybend.relay import outcomes
from savorybend.relay import peerserver
from savorybend.relay import streams
from savorybend.relay import traffic
from tests.relay import samples

# Of both daemons of a pair.
BUDGET = bytebudget.create_budget(1 << 28)
RESERVE = streams.Reserve(BUDGET, bytebudget.Use.REQUESTS, refuses=True)
LOAD = outcomes.Load(0, 0, 1, 0.0, 1.0, {})
RAN = outcomes.Ran(200, b"", b"whole")
FAILED = outcomes.Ran(500, b"", b"failed")


class Own:
    """The state of a daemon."""

    def __init__(self, name, port, boot=1):
        self.statement = samples.statement(name, port=port, boot=boot)
        self.version = 0
        self.load = LOAD
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


def create_parts(own, tasks):
    clock = timers.SystemClock()
    return linkinterfaces.Dependencies(
        own,
        _Events(),
        clock,
        timers.create_timer_service(clock),
        tasks.start,
        traffic.create_traffic(),
        BUDGET,
    )


class Pair:
    """A sending and a serving daemon on a real connection."""

    def __init__(self):
        self.serving = _Serving()
        self.tasks = backgroundtasks.create_background_tasks()
        self.server = None
        self.peer_server = None
        self.link = None
        self.port = 0
        self.sender = Own("a", 1)
        self.got = []
        self.transports = []

    def _parts(self, own):
        return create_parts(own, self.tasks)

    async def start(self, boot=1):
        loop = asyncio.get_running_loop()
        own = Own("b", self.port, boot)
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
            self._parts(Own("a", 1, boot=2)),
            itertools.count(1),
        )
        self.link.set_persistent(True)

    def submit(self, **changes):
        return submit(self.link, self.got, **changes)

    async def until(self, condition):
        await until(self.link, condition)


def submit(link, got, **changes):
    """Submits a call whose outcome is appended to a list."""
    clock = timers.SystemClock()
    call = samples.call(deadline_s=clock.now_s() + 5.0, **changes)
    return link.submit(call, got.append)


async def until(link, condition):
    async with asyncio.timeout(5.0):
        while not condition():
            link.tick()
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running_pair():
    pair = Pair()
    await pair.start()
    try:
        yield pair
    finally:
        pair.link.close()
        pair.server.close()
        pair.tasks.cancel()
