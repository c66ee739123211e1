"""Puts a daemon together from its parts, and runs it from start to stop."""

import asyncio
import collections.abc
import random
import signal

import aiohttp

from savorybend.internal import admin
from savorybend.internal import callpath
from savorybend.internal import charts
from savorybend.internal import collector
from savorybend.internal import configstore
from savorybend.internal import drainhandler
from savorybend.internal import fleet
from savorybend.internal import httpserver
from savorybend.internal import limits
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import peerkeys
from savorybend.internal import peers
from savorybend.internal import platform
from savorybend.internal import sessions
from savorybend.internal import settings as settings_module
from savorybend.internal import signing
from savorybend.internal import snapshot
from savorybend.internal import timers
from savorybend.internal.wire import limits as wire_limits

_POLL_S = 0.05
# How long a drain is given to reach the peers before the listeners close;
# until then they are told to go elsewhere.
_SPREAD_S = 1.0
# How long answers under way are given to arrive after the last call ended.
_RECEIPTS_S = 5.0

_log = logs.get()


class Daemon:
    """One daemon; see charts/daemon.json for its states."""

    # Set by the chart's machine.
    state: str

    def __init__(
        self,
        settings: settings_module.Settings,
        session: aiohttp.ClientSession,
    ):
        self._settings = settings
        self._session = session
        self._tasks: list[asyncio.Task] = []
        self._timers = timers.create_timer_service()
        clock = self._timers.clock
        keys = peerkeys.create_key_pair()
        self._signer = signing.create_signer()
        own = fleet.create_record(settings, keys.public, self._signer)
        self._directory = members.create_directory(own)
        self._transport = peers.create_transport(
            self._directory, keys, self._timers
        )
        self._platform = platform.create_platform(
            settings.platform_url, session
        )
        self._configuration = configstore.create_store(clock)
        self._fleet = self._create_fleet()
        self._limiter = self._create_limiter()
        self._calls = self._create_call_path()
        self._calls.server.subscribe(self._on_backend_server)
        self._door = drainhandler.create_drain_handler(
            settings.name,
            self._calls.call_ingress.handle,
            draining=lambda: self.state == "draining",
        )
        self._listeners = self._create_listeners()
        charts.create_machine("daemon", self, after_change="log_state")

    async def run(self) -> None:
        """Serves until a signal asks for a graceful shutdown."""
        stop = asyncio.Event()
        self._fleet.subscribe_replaced(stop.set)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        self._configuration.subscribe(self._on_configuration)
        await self._start()
        await stop.wait()
        await self._stop()

    def log_state(self) -> None:
        """Logs the state after a change."""
        _log.info("daemon", state=self.state)

    async def _start(self) -> None:
        settings = self._settings
        self._transport.bind(str(settings.peer_address))
        addresses = (
            settings.call_address,
            settings.local_address,
            settings.admin_address,
        )
        for listener, address in zip(self._listeners, addresses, strict=True):
            await listener.start(address.host, address.port)
        for work in self._fleet.start():
            self._spawn(work)
        self._spawn(self._limiter.ledger_synchronizer.run())
        collector.configure()
        _log.info("listening", call_address=str(settings.call_address))

    async def _stop(self) -> None:
        self.trigger("drain")
        self._calls.drain()
        self._fleet.set_draining(True)
        await asyncio.sleep(_SPREAD_S)
        self._door.close()
        await self._finish_calls()
        await self._announce_departure()
        await self._limiter.leave()
        await self._fleet.leave()
        for listener in self._listeners:
            await listener.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._transport.close()
        self.trigger("finish")

    async def _finish_calls(self) -> None:
        await self._wait(
            self._settings.drain_timeout_s, lambda: self._calls.in_flight
        )
        # An answer that its peer hasn't received yet is still in flight, but
        # a peer that is dead or frozen must not hold the shutdown up.
        await self._wait(
            min(_RECEIPTS_S, self._settings.drain_timeout_s),
            lambda: self._transport.waiting,
        )

    async def _announce_departure(self) -> None:
        self._calls.close()
        await self._wait(_SPREAD_S, lambda: self._transport.waiting)

    async def _wait(
        self, longest_s: float, left: collections.abc.Callable[[], int]
    ) -> None:
        """Waits until nothing is left, but no longer than `longest_s`."""
        clock = self._timers.clock
        end_s = clock.now_s() + longest_s
        while left() and clock.now_s() < end_s:
            await asyncio.sleep(_POLL_S)

    def _on_configuration(self, current: snapshot.Snapshot) -> None:
        self._limiter.configure(current)
        if self.state == "starting":
            self.trigger("configured")

    def _on_backend_server(self, state: str) -> None:
        # While the daemon itself leaves, nothing brings it back.
        if self.state != "draining":
            self._fleet.set_draining(state == "draining")

    def _spawn(self, work: collections.abc.Coroutine) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _create_fleet(self) -> fleet.Fleet:
        return fleet.create_fleet(
            fleet.Parts(
                settings=self._settings,
                directory=self._directory,
                transport=self._transport,
                timers=self._timers,
                configuration=self._configuration,
                store=self._platform,
                session=self._session,
                rng=random.Random(),
                signer=self._signer,
            )
        )

    def _create_call_path(self) -> callpath.CallPath:
        return callpath.create_call_path(
            callpath.Parts(
                settings=self._settings,
                directory=self._directory,
                transport=self._transport,
                timers=self._timers,
                configuration=self._configuration,
                limiter=self._limiter,
                session=self._session,
            )
        )

    def _create_limiter(self) -> limits.FleetLimiter:
        limiter = limits.create_limiter(
            limits.Dependencies(
                timers=self._timers,
                directory=self._directory,
                store=self._platform,
                send=self._transport.send,
                random=random.Random(),
            )
        )
        for kind in wire_limits.MESSAGE_TYPES:
            self._transport.subscribe(kind, limiter.receive)
        return limiter

    def _create_listeners(self) -> tuple[httpserver.Listener, ...]:
        pages = admin.create_pages(
            admin.Parts(
                key=self._settings.admin_key,
                configuration=self._configuration,
                directory=self._directory,
                requests=self._calls.create_pages(),
                limiter=self._limiter,
                status=self._status,
                ready=lambda: self.state == "serving",
                join=self._fleet.join,
            )
        )
        limit = self._settings.header_limit_bytes
        return tuple(
            httpserver.create_listener(handler, limit, self._timers)
            for handler in (
                self._door.handle,
                self._calls.local_handler.handle,
                pages.handle,
            )
        )

    def _status(self) -> admin.Status:
        return admin.Status(
            name=self._settings.name,
            state=self.state,
            backend_server=self._calls.server.state,
            configuration_version=self._configuration.version,
            configuration_age_s=self._configuration.age_s,
            in_flight=self._calls.call_ingress.in_flight,
            in_use=self._calls.gate.in_use,
            waiting=self._calls.gate.waiting,
            limit=self._calls.gate.limit,
        )


async def run(settings: settings_module.Settings) -> None:
    """Runs a daemon until a signal asks for a graceful shutdown."""
    async with sessions.create_session() as session:
        await Daemon(settings, session).run()
