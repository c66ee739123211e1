"""Listens on this daemon's addresses and answers readiness probes."""

import asyncio
import collections.abc
import typing

from savorybend.internal import timers
from savorybend.relay import bytebudget
from savorybend.relay import callers
from savorybend.relay import calls
from savorybend.relay import counters
from savorybend.relay import exchanges
from savorybend.relay import learnedlog
from savorybend.relay import settings

_BACKLOG = 1024
_METRICS_PATH = b"/metrics"
_DAEMONS_PATH = b"/daemons"
_OK = 200
_UNAVAILABLE = 503
# Announcements and probes have some hundred bytes.
_LIMITS = calls.CallerLimits(body_bytes=65_536)

CreateProtocol = collections.abc.Callable[[], asyncio.BaseProtocol]


class Parts(typing.NamedTuple):
    """Dependencies of `Listening`.

    Attributes:
        settings: The addresses.
        clock: The clock.
        budget: Room for the bodies of requests.
        callers: Creates the protocol of a caller's connection.
        peers: Creates the protocol of another daemon's connection.
        on_announcement: Handles a request of the backend server.
        counters: The metrics that are served next to the probes.
        ready: Returns whether this daemon takes calls.
        learned_log: The other daemons, as shown next to the probes.
    """

    settings: settings.Settings
    clock: timers.Clock
    budget: bytebudget.Budget
    callers: CreateProtocol
    peers: CreateProtocol
    on_announcement: collections.abc.Callable[[exchanges.Exchange], None]
    counters: counters.Counters
    ready: collections.abc.Callable[[], bool]
    learned_log: learnedlog.LearnedLog


class Listening:
    """The listening sockets of this daemon."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._servers: list[asyncio.Server] = []
        self._announcements = callers.CallerServer(
            parts.on_announcement, parts.clock, _LIMITS, parts.budget
        )
        self._probes = callers.CallerServer(
            self._on_probe, parts.clock, _LIMITS, parts.budget
        )

    async def open(self) -> None:
        """Starts listening on each address.

        Raises:
            OSError: An address isn't free.
        """
        own = self._parts.settings
        peer_address = settings.Address(own.host, own.peer_port)
        await self._listen(self._parts.callers, own.call_address)
        await self._listen(self._announcements.create, own.announcement_address)
        await self._listen(self._probes.create, own.ready_address)
        await self._listen(self._parts.peers, peer_address)

    def close(self) -> None:
        """Stops listening; open connections stay open."""
        for server in self._servers:
            server.close()

    async def _listen(
        self, create: CreateProtocol, address: settings.Address
    ) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            create, *address, backlog=_BACKLOG, reuse_address=True
        )
        self._servers.append(server)

    def _on_probe(self, exchange: exchanges.Exchange) -> None:
        if exchange.target.startswith(_METRICS_PATH):
            exchange.reply(_OK, b"", self._parts.counters.render())
            return
        if exchange.target.startswith(_DAEMONS_PATH):
            text = "".join(
                f"{one}\n" for one in self._parts.learned_log.lines()
            )
            exchange.reply(_OK, b"", text.encode())
            return
        exchange.reply(_OK if self._parts.ready() else _UNAVAILABLE, b"", b"")


def create_listening(parts: Parts) -> Listening:
    """Returns the sockets of a daemon that doesn't listen yet."""
    return Listening(parts)
