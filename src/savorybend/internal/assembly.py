"""Puts a daemon together from its parts, and runs it from start to stop."""

import asyncio
import collections.abc
import random
import signal

import aiohttp

from savorybend.internal import admin
from savorybend.internal import backendserver
from savorybend.internal import charts
from savorybend.internal import choice
from savorybend.internal import collector
from savorybend.internal import concurrency
from savorybend.internal import configstore
from savorybend.internal import dispatching
from savorybend.internal import drain
from savorybend.internal import entry
from savorybend.internal import fleet
from savorybend.internal import forwarding
from savorybend.internal import guard
from savorybend.internal import handles
from savorybend.internal import httpserver
from savorybend.internal import inquiries
from savorybend.internal import intake
from savorybend.internal import issuing
from savorybend.internal import journal
from savorybend.internal import limits
from savorybend.internal import local
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import peerkeys
from savorybend.internal import peers
from savorybend.internal import platform
from savorybend.internal import quarantine
from savorybend.internal import receiving
from savorybend.internal import records
from savorybend.internal import recovering
from savorybend.internal import requestpages
from savorybend.internal import routing
from savorybend.internal import serving
from savorybend.internal import settings as settings_module
from savorybend.internal import snapshot
from savorybend.internal import timers
from savorybend.internal import wills
from savorybend.internal.wire import limits as wire_limits

_POLL_S = 0.05
# How long a drain is given to reach the peers before the listeners close;
# until then they are told to go elsewhere.
_SPREAD_S = 1.0
# Callers without a key share one account that no configuration describes.
_OPEN_WEIGHT = 1.0

_log = logs.get()


class Daemon:
    """One daemon; see charts/daemon.json for its states."""

    # Set by the chart's machine.
    state: str

    def __init__(
        self,
        settings: settings_module.Settings,
        session: aiohttp.ClientSession,
        platform_session: aiohttp.ClientSession,
    ):
        self._settings = settings
        self._session = session
        self._tasks: list[asyncio.Task] = []
        self._timers = timers.create_timer_service()
        clock = self._timers.clock
        keys = peerkeys.create_key_pair()
        own = fleet.create_record(settings, keys.public)
        self._directory = members.create_directory(own)
        self._transport = peers.create_transport(
            self._directory, keys, self._timers
        )
        self._platform = platform.create_platform(
            settings.platform_url, platform_session
        )
        self._configuration = configstore.create_store(clock)
        self._fleet = self._create_fleet()
        self._journal = journal.create_journal(
            settings.name, settings.journal_entries
        )
        self._limiter = self._create_limiter()
        self._gate = concurrency.create_gate(
            self._timers, self._weight_of, settings.experiment
        )
        self._server = backendserver.create_backend_server(self._gate)
        self._server.subscribe(self._on_backend_server)
        self._handles = handles.create_handles()
        self._issuer = issuing.create_issuer(own.name, own.incarnation)
        self._intake = self._create_intake()
        self._records = records.create_records(own.name, clock)
        self._serving = self._create_serving(clock)
        self._dispatcher = self._create_dispatcher(clock, own)
        self._receiver = receiving.create_receiver(
            self._transport,
            self._timers,
            dispatching.create_doorway(self._dispatcher, self._serving),
        )
        self._entry = self._create_entry(clock, own)
        self._door = drain.create_door(
            settings.name,
            self._entry.handle,
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
        self._spawn(self._limiter.keeper.run())
        collector.settle()
        _log.info("listening", call_address=str(settings.call_address))

    async def _stop(self) -> None:
        self.trigger("drain")
        self._serving.drain()
        self._fleet.set_draining(True)
        await asyncio.sleep(_SPREAD_S)
        self._door.close()
        await self._finish_calls()
        await self._send_will()
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
        clock = self._timers.clock
        end_s = clock.now_s() + self._settings.drain_timeout_s
        while self._busy() and clock.now_s() < end_s:
            await asyncio.sleep(_POLL_S)

    async def _send_will(self) -> None:
        self._guard.close()
        self._wills.send()
        clock = self._timers.clock
        end_s = clock.now_s() + _SPREAD_S
        while self._transport.waiting and clock.now_s() < end_s:
            await asyncio.sleep(_POLL_S)

    def _busy(self) -> bool:
        in_flight = self._entry.in_flight + self._receiver.in_flight
        in_flight += self._guard.in_flight + self._records.running
        # An answer that its peer hasn't received yet is still in flight.
        in_flight += self._transport.waiting
        return in_flight + self._gate.in_use > 0

    def _on_configuration(self, current: snapshot.Snapshot) -> None:
        self._limiter.configure(current)
        if self.state == "starting":
            self.trigger("configured")

    def _on_backend_server(self, state: str) -> None:
        # While the daemon itself leaves, nothing brings it back.
        if self.state != "draining":
            self._fleet.set_draining(state == "draining")

    def _weight_of(self, client_account: str) -> float:
        current = self._configuration.in_force
        account = current and current.accounts.get(client_account)
        return account.weight if account else _OPEN_WEIGHT

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
            )
        )

    def _create_serving(self, clock: timers.Clock) -> serving.Serving:
        return serving.create_serving(
            serving.Parts(
                daemon=self._settings.name,
                clock=clock,
                gate=self._gate,
                backend_server=self._server,
                handles=self._handles,
                journal=self._journal,
                records=self._records,
                quarantine=quarantine.create_quarantine(
                    quarantine.Parts(self._transport, self._directory, clock)
                ),
                session=self._session,
            )
        )

    def _create_intake(self) -> intake.Intake:
        return intake.create_intake(
            intake.Parts(
                configuration=self._configuration,
                limiter=self._limiter,
                handles=self._handles,
                issuer=self._issuer,
                journal=self._journal,
            )
        )

    def _create_dispatcher(
        self, clock: timers.Clock, own: members.Record
    ) -> dispatching.Dispatcher:
        forwarder = forwarding.create_forwarder(self._transport, self._timers)
        tracker = choice.create_tracker(
            random.Random(), clock, self._weight_of, self._settings.experiment
        )
        self._directory.subscribe(tracker.on_change)
        router = routing.create_router(
            routing.Parts(
                directory=self._directory,
                tracker=self._create_tracker(clock),
                local=self._serving,
                forwarder=forwarder,
            )
        )
        recovery = self._create_recovery(clock)
        self._wills = wills.create_wills(
            wills.Parts(self._transport, self._directory, self._issuer)
        )
        self._guard = guard.create_guard(
            guard.Parts(
                daemon=own.name,
                issuer=self._issuer,
                records=records.create_records(own.name, clock),
                journal=self._journal,
                recovery=recovery,
                admit=self._intake.spend,
                target=router,
            )
        )
        return dispatching.create_dispatcher(
            dispatching.Parts(
                directory=self._directory,
                issuer=self._issuer,
                guard=self._guard,
                router=router,
                forwarder=forwarder,
                recovery=recovery,
                wills=self._wills,
            )
        )

    def _create_tracker(self, clock: timers.Clock) -> choice.Tracker:
        tracker = choice.create_tracker(
            random.Random(), clock, self._weight_of, self._settings.experiment
        )
        self._directory.subscribe(tracker.on_change)
        return tracker

    def _create_recovery(self, clock: timers.Clock) -> recovering.Recovery:
        inquirer = inquiries.create_inquirer(
            inquiries.Parts(self._transport, self._journal, self._records)
        )
        return recovering.create_recovery(
            recovering.Parts(clock, self._directory, inquirer)
        )

    def _create_limiter(self) -> limits.FleetLimiter:
        limiter = limits.create_limiter(
            limits.Parts(
                timers=self._timers,
                directory=self._directory,
                store=self._platform,
                send=self._transport.send,
                random=random.Random(),
            )
        )
        for kind in wire_limits.KINDS:
            self._transport.subscribe(kind, limiter.receive)
        return limiter

    def _create_entry(
        self, clock: timers.Clock, own: members.Record
    ) -> entry.Entry:
        return entry.create_entry(
            entry.Parts(
                daemon=own.name,
                clock=clock,
                configuration=self._configuration,
                intake=self._intake,
                target=self._dispatcher,
                guard=self._guard,
                handles=self._handles,
                issuer=self._issuer,
                journal=self._journal,
                body_limit_bytes=self._settings.body_limit_bytes,
                entries=self._entries,
            )
        )

    def _create_listeners(self) -> tuple[httpserver.Listener, ...]:
        pages = admin.create_pages(
            admin.Parts(
                key=self._settings.admin_key,
                configuration=self._configuration,
                directory=self._directory,
                requests=requestpages.create_pages(
                    requestpages.Parts(
                        self._journal, self._issuer, self._records
                    )
                ),
                limiter=self._limiter,
                status=self._status,
                ready=lambda: self.state == "serving",
                join=self._fleet.join,
            )
        )
        door = local.create_door(self._server, self._entry)
        limit = self._settings.header_limit_bytes
        return tuple(
            httpserver.create_listener(handler, limit, self._timers)
            for handler in (self._door.handle, door.handle, pages.handle)
        )

    def _entries(self) -> dict[str, dict[str, list[str]]]:
        found: dict[str, dict[str, list[str]]] = {}
        for record in self._directory.all():
            if record.state == members.SERVING:
                centres = found.setdefault(record.service, {})
                addresses = centres.setdefault(record.data_centre, [])
                addresses.append(record.call_address)
        return found

    def _status(self) -> admin.Status:
        return admin.Status(
            name=self._settings.name,
            state=self.state,
            backend_server=self._server.state,
            configuration_version=self._configuration.version,
            configuration_age_s=self._configuration.age_s,
            in_flight=self._entry.in_flight,
            in_use=self._gate.in_use,
            waiting=self._gate.waiting,
            limit=self._gate.limit,
        )


async def run(settings: settings_module.Settings) -> None:
    """Runs a daemon until a signal asks for a graceful shutdown."""
    async with (
        _create_session(aiohttp.TCPConnector(limit=0)) as session,
        # The platform is asked rarely, and an idle connection may have gone
        # silent since; a new one for each call works if the platform does.
        _create_session(
            aiohttp.TCPConnector(limit=0, force_close=True)
        ) as platform_session,
    ):
        await Daemon(settings, session, platform_session).run()


def _create_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None),
    )
