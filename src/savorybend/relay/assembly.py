"""Assembles a relay daemon from its components and runs it."""

import asyncio
import collections.abc
import gc
import random
import signal
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import admission
from savorybend.relay import allowance
from savorybend.relay import announcing
from savorybend.relay import backend
from savorybend.relay import backgroundtasks
from savorybend.relay import bytebudget
from savorybend.relay import bytemetrics
from savorybend.relay import callers
from savorybend.relay import callqueue
from savorybend.relay import capacity
from savorybend.relay import catalog
from savorybend.relay import counters
from savorybend.relay import directory
from savorybend.relay import fleet
from savorybend.relay import fleetmetrics
from savorybend.relay import forwarding
from savorybend.relay import ingress
from savorybend.relay import inquiry
from savorybend.relay import learnedlog
from savorybend.relay import listening
from savorybend.relay import loadbalancer
from savorybend.relay import logs
from savorybend.relay import outcomes
from savorybend.relay import ownrecord
from savorybend.relay import ownstatement
from savorybend.relay import pool
from savorybend.relay import presence
from savorybend.relay import reloading
from savorybend.relay import retrybudget
from savorybend.relay import servermetrics
from savorybend.relay import serverterms
from savorybend.relay import servicetimes
from savorybend.relay import serving
from savorybend.relay import settings
from savorybend.relay import shutdown
from savorybend.relay import splitting
from savorybend.relay import store
from savorybend.relay import storeaccess
from savorybend.relay import suspects
from savorybend.relay import traffic
from savorybend.relay import watchdog

_TICK_INTERVAL_S = 0.1
_SLOW_TICK_INTERVAL_S = 1.0
_RELOAD_SLOW_TICKS = 5
_LOG_FLUSH_INTERVAL_S = 0.1
# Share of the descriptors for callers; the rest is for the backend server,
# peers and files.
_CALLER_DESCRIPTOR_FRACTION = 0.5
# Net allocations between two runs of the cyclic garbage collector.
_GC_THRESHOLD = 5_000
# Each daemon uses this fraction of the fleet's retry ratio, since the calls
# made by a retried request count as retries where they arrive as well.
_RETRY_RATIO_FRACTION = 0.1
_RETRY_RESERVE = 2.0
# Fraction of the fleet's slack for retries that all reserves together may use;
# the rest is for the calls that retried requests make.
_RETRY_SLACK_FRACTION = 0.6

_log = structlog.get_logger()


class Adapter(typing.NamedTuple):
    """The platform-specific components of a daemon.

    Attributes:
        ingress: Codec of requests from callers.
        backend: Codec of requests to a backend server.
        decode_configuration: Decodes the operator's configuration; raises
            `errors.InvalidConfigurationError`.
        store: The client of the platform's store.
        announcements: Creates the handler of backend servers' announcements.
        reload: Reads the settings again; raises `errors.InvalidSettingError`.
        traffic: Counts the store's calls and messages between daemons.
        budget: Room for the bodies that the daemon holds.
    """

    ingress: typing.Any
    backend: pool.Codec
    decode_configuration: catalog.Decode
    store: store.Store
    announcements: collections.abc.Callable[[typing.Any], typing.Any]
    reload: collections.abc.Callable[[], settings.Settings]
    traffic: traffic.Traffic
    budget: bytebudget.Budget


class Daemon:
    """A relay daemon with all of its components."""

    def __init__(
        self,
        loaded_settings: settings.Settings,
        adapter: Adapter,
        sink: logs.Sink,
    ):
        self._settings = loaded_settings
        self._adapter = adapter
        self._sink = sink
        self._tasks = backgroundtasks.create_background_tasks()
        self._rng = random.Random()
        self._slow_ticks = 0
        clock = timers.SystemClock()
        self._timers = timers.create_timer_service(clock)
        self._counters = counters.create_counters()
        self._counters.include(adapter.traffic)
        self._counters.include(bytemetrics.create_byte_metrics(adapter.budget))
        self._catalog = catalog.create_catalog(adapter.decode_configuration)
        self._learned_log = learnedlog.create_learned_log(clock)
        self._directory = directory.create_directory(
            loaded_settings.name, self._learned_log
        )
        self._inquiry = inquiry.create_inquiry(
            lambda: len(self._directory.names)
        )
        self._server = backend.BackendServer(
            loaded_settings.backend_server_address,
            loaded_settings.announcement_interval_s,
            clock,
            self._on_server_change,
        )
        self._publisher = presence.Publisher(
            loaded_settings.name, adapter.store, self._rng
        )
        self._call_queue = callqueue.create_call_queue(
            callqueue.Parts(
                self._timers,
                self._rng.random,
                capacity.create_capacity_estimator(clock),
            )
        )
        self._callees = admission.create_callees(clock, self._share_of_callee)
        self._own_statement = ownstatement.create_own_statement(
            loaded_settings,
            self._server,
            self._catalog,
            self._call_queue,
            self._callees,
        )
        self._server_terms = serverterms.create_server_terms(
            serverterms.Parts(
                server=self._server,
                clock=clock,
                set_rate=self._call_queue.set_rate,
            )
        )
        self._own_statement.set_terms(lambda: self._server_terms.terms)
        self._pool = pool.Pool(
            loaded_settings.backend_server_address,
            adapter.backend,
            clock,
            self._tasks.start,
            adapter.budget,
            self._server_terms.note_answer,
        )
        self._counters.include(
            servermetrics.create_server_metrics(
                servermetrics.Parts(self._pool, self._server_terms)
            )
        )
        self._watchdog = watchdog.Watchdog(
            self._server, self._pool, clock, self._tasks.start
        )
        self._fleet = fleet.create_fleet(
            fleet.Parts(
                own=self._own_statement,
                directory=self._directory,
                catalog=self._catalog,
                timers=self._timers,
                start=self._tasks.start,
                traffic=adapter.traffic,
                budget=adapter.budget,
            )
        )
        self._suspects = suspects.create_suspects(
            suspects.Parts(
                clock=timers.WallClock(),
                tell=self._fleet.tell_service,
                spread=self._fleet.spread,
                runs_trial=self._fleet.runs_trial,
                store=self._store_suspects,
                is_lender=self._fleet.is_lender,
            )
        )
        self._own_record = ownrecord.create_own_record(
            ownrecord.Parts(
                own=self._own_statement,
                server=self._server,
                publisher=self._publisher,
                suspects=self._suspects,
                inquiry=self._inquiry,
                start=self._tasks.start,
            )
        )
        self._serving = serving.create_serving(
            serving.Parts(
                server=self._server,
                pool=self._pool,
                call_queue=self._call_queue,
                suspects=self._suspects,
                watchdog=self._watchdog,
                clock=clock,
                takes_calls=self._serves_peers,
            )
        )
        self._load_balancer = loadbalancer.LoadBalancer(
            lambda: self._own_statement.statement,
            self._directory,
            self._fleet,
            clock,
            self._rng,
            lambda: self._own_statement.load,
        )
        self._allowance = allowance.create_allowance(
            allowance.Parts(
                clock, lambda: self._directory.size, self._fleet.ask_lender
            )
        )
        self._store_access = self._create_store_access()
        self._feed = self._store_access.feed
        self._own_statement.set_feed(lambda: self._feed.feed)
        self._counters.include(
            fleetmetrics.create_fleet_metrics(
                fleetmetrics.Parts(
                    directory=self._directory,
                    feed=self._feed,
                    version=lambda: self._catalog.version,
                    read_age_s=lambda: self._store_access.read_age_s,
                )
            )
        )
        self._peer_server = self._fleet.connect(
            fleet.Consumers(
                serving=self._serving,
                load_balancer=self._load_balancer,
                allowance=self._allowance,
                suspects=self._suspects,
                feed=self._feed,
                watchers=self._store_access.store_watchers,
                server_terms=self._server_terms,
                inquiry=self._inquiry,
                on_follower=self._store_access.note_follower,
            )
        )
        self._ingress = self._create_ingress()
        self._callers = callers.CallerServer(
            self._ingress.handle,
            clock,
            catalog.LiveLimits(self._catalog),
            adapter.budget,
            int(loaded_settings.max_descriptors * _CALLER_DESCRIPTOR_FRACTION),
        )
        self._shutdown = shutdown.create_shutdown(
            shutdown.Parts(
                callers=self._callers,
                busy=self._busy,
                writing=self._writing,
                withdraw=self._withdraw,
                clock=clock,
                grace_s=loaded_settings.grace_s,
            )
        )
        self._reloading = reloading.create_reloading(
            loaded_settings, adapter.reload, adapter.ingress.set_service
        )
        self._listening = self._create_listening()

    async def run(self) -> None:
        """Serves until a requested shutdown is complete."""
        _log.info(
            "daemon_started",
            service=self._settings.service,
            data_centre=self._settings.data_centre,
            boot=self._own_statement.statement.boot,
        )
        self._watch_signals()
        await self._listening.open()
        self._tasks.start(self._own_record.take_over())
        self._store_access.begin()
        self._timers.every(_TICK_INTERVAL_S, self._tick)
        self._timers.every(_SLOW_TICK_INTERVAL_S, self._slow_tick)
        self._timers.every(_LOG_FLUSH_INTERVAL_S, self._sink.flush)
        _reduce_garbage_collection()
        await self._shutdown.wait()
        await self._stop()

    def _create_store_access(self) -> storeaccess.StoreAccess:
        return storeaccess.create_store_access(
            storeaccess.Parts(
                settings=self._settings,
                client=self._adapter.store,
                timers=self._timers,
                rng=self._rng,
                catalog=self._catalog,
                directory=self._directory,
                fleet=self._fleet,
                inquiry=self._inquiry,
                publisher=self._publisher,
                suspects=self._suspects,
                start=self._tasks.start,
                announce=lambda: self._peer_server.announce(),
                push=lambda message: self._peer_server.push(message),
                on_record_lost=self._on_record_lost,
                stopping=lambda: self._shutdown.begun,
            )
        )

    def _create_ingress(self) -> ingress.Ingress:
        clock = self._timers.clock
        return ingress.create_ingress(
            forwarding.Parts(
                codec=self._adapter.ingress,
                catalog=self._catalog,
                allowance=self._allowance,
                load_balancer=self._load_balancer,
                target=self._target,
                budget=self._create_retry_budget(),
                callees=self._callees,
                admission=admission.create_admission(
                    clock, self._load_balancer.share
                ),
                running=self._serving.running,
                split=splitting.create_split(),
                counters=self._counters,
                timers=self._timers,
                random_fraction=self._rng.random,
                takes_calls=self._takes_calls,
                work_ends_s=lambda: self._shutdown.work_ends_s,
                route_times=servicetimes.ServiceTimes(),
            )
        )

    def _create_retry_budget(self) -> retrybudget.RetryBudget:
        own = self._settings
        return retrybudget.create_retry_budget(
            retrybudget.Terms(
                per_call=own.retry_ratio * _RETRY_RATIO_FRACTION,
                reserve=_RETRY_RESERVE,
                fleet_reserve=own.retry_slack * _RETRY_SLACK_FRACTION,
                window_s=own.retry_window_s,
            ),
            retrybudget.Parts(
                self._timers.clock,
                lambda: self._directory.size,
                self._rng.random,
            ),
        )

    def _create_listening(self) -> listening.Listening:
        announcements = self._adapter.announcements(self._create_announcing())
        return listening.create_listening(
            listening.Parts(
                settings=self._settings,
                clock=self._timers.clock,
                budget=self._adapter.budget,
                callers=self._callers.create,
                peers=self._peer_server.create,
                on_announcement=announcements.handle,
                counters=self._counters,
                ready=self._ready,
                learned_log=self._learned_log,
            )
        )

    def _create_announcing(self) -> announcing.Announcing:
        return announcing.create_announcing(
            announcing.Parts(self._server, self._publisher, self._tasks.start)
        )

    def _target(self, daemon: str) -> forwarding.Target:
        if daemon == self._settings.name:
            return self._serving
        return self._fleet.link(daemon)

    def _share_of_callee(self, service: str, route: str) -> outcomes.Share:
        # A service's calls to itself are already counted by its own call queue.
        if service == self._own_statement.statement.service:
            return outcomes.Share(admission.FULL_SHARE, service)
        return self._load_balancer.share(service, route)

    def _takes_calls(self) -> bool:
        return self._shutdown.takes_calls

    def _serves_peers(self) -> bool:
        return self._shutdown.serves_peers

    def _busy(self) -> int:
        return self._callers.busy + self._peer_server.busy + self._serving.busy

    def _writing(self) -> int:
        return self._callers.writing + self._peer_server.writing

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._on_term)
        loop.add_signal_handler(signal.SIGINT, self._on_term)
        loop.add_signal_handler(signal.SIGHUP, self._reloading.reload)

    def _on_server_change(self) -> None:
        self._server_terms.on_server_change()
        self._own_statement.change()
        self._serving.on_server_change()
        self._peer_server.announce()
        self._own_record.publish()

    def _on_record_lost(self) -> None:
        # Daemons that removed this one ignore the statement they had.
        self._own_statement.change()
        self._peer_server.announce()
        self._own_record.publish()

    def _store_suspects(self) -> None:
        self._own_record.publish()

    def _ready(self) -> bool:
        return bool(self._catalog.current) and not self._shutdown.begun

    def _on_term(self) -> None:
        if self._shutdown.begun:
            return
        self._shutdown.begin()

    def _withdraw(self) -> None:
        self._own_statement.leave()
        self._peer_server.announce()
        self._own_record.publish()

    def _tick(self) -> None:
        self._watchdog.tick(self._call_queue.running)
        self._serving.sweep()
        self._fleet.tick()
        self._peer_server.sweep()

    def _slow_tick(self) -> None:
        self._slow_ticks += 1
        if self._slow_ticks % _RELOAD_SLOW_TICKS == 0:
            # The settings file may change without a SIGHUP.
            self._reloading.reload()
        self._callers.sweep()
        self._suspects.sweep()
        self._learned_log.start_interval()
        self._sink.start_interval()

    async def _stop(self) -> None:
        self._listening.close()
        self._peer_server.close()
        if self._server.current is None:
            # Otherwise the record is kept: the daemon's next start must know
            # whether the backend server has left.
            await self._own_record.remove()
        self._tasks.cancel()
        _log.info("daemon_stopped", busy=self._busy())
        self._sink.flush()


def _reduce_garbage_collection() -> None:
    """Makes garbage collections rare: calls create few reference cycles."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD, 10, 10)


async def run(
    loaded_settings: settings.Settings, adapter: Adapter, sink: logs.Sink
) -> None:
    """Runs a daemon until SIGTERM or SIGINT.

    Raises:
        OSError: Listening on an address failed.
    """
    await Daemon(loaded_settings, adapter, sink).run()
