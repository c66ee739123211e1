"""Assembles the components that calls pass in one daemon."""

import random
import typing

import aiohttp

from savorybend.internal import answerrecovery
from savorybend.internal import backendserver
from savorybend.internal import childcalls
from savorybend.internal import concurrency
from savorybend.internal import configstore
from savorybend.internal import departures
from savorybend.internal import dispatching
from savorybend.internal import forwarding
from savorybend.internal import guard
from savorybend.internal import handles
from savorybend.internal import ingress
from savorybend.internal import inquiries
from savorybend.internal import issuing
from savorybend.internal import journal
from savorybend.internal import limits
from savorybend.internal import loadbalancing
from savorybend.internal import localendpoint
from savorybend.internal import members
from savorybend.internal import peers
from savorybend.internal import quarantine
from savorybend.internal import receiving
from savorybend.internal import records
from savorybend.internal import requestpages
from savorybend.internal import requestvalidation
from savorybend.internal import routing
from savorybend.internal import serving
from savorybend.internal import settings as settings_module
from savorybend.internal import timers

# Weight of a client account that the configuration doesn't have: callers
# without a key share one such account.
_DEFAULT_WEIGHT = 1.0


class Parts(typing.NamedTuple):
    """Dependencies of a call path."""

    settings: settings_module.Settings
    directory: members.Directory
    transport: peers.Transport
    timers: timers.TimerService
    configuration: configstore.Store
    limiter: limits.Limiter
    session: aiohttp.ClientSession


class CallPath:
    """The components that take in, dispatch and serve calls."""

    def __init__(self, parts: Parts):
        own = parts.directory.own
        clock = parts.timers.clock
        self._parts = parts
        self._journal = journal.create_journal(
            own.name, parts.settings.journal_entries
        )
        self._handles = handles.create_handles()
        self._issuer = issuing.create_issuer(own.name, own.incarnation)
        self._records = records.create_records(own.name, clock)
        self._gate = concurrency.create_gate(
            parts.timers, self._weight_of, parts.settings.experiment
        )
        self._backend_server = backendserver.create_backend_server(self._gate)
        self._serving = self._create_serving()
        self._request_validator = self._create_request_validator()
        self._departures = departures.create_departures(
            departures.Parts(parts.transport, parts.directory, self._issuer)
        )
        self._dispatcher = self._create_dispatcher()
        self._receiver = receiving.create_receiver(
            parts.transport,
            parts.timers,
            dispatching.create_peer_call_dispatcher(
                self._dispatcher, self._serving
            ),
        )
        self._ingress = self._create_ingress()
        self._local_handler = localendpoint.create_local_endpoint(
            self._backend_server, self._ingress
        )

    @property
    def call_ingress(self) -> ingress.Ingress:
        """The HTTP ingress of callers' requests."""
        return self._ingress

    @property
    def local_handler(self) -> localendpoint.LocalEndpoint:
        """The HTTP handler for this VM's backend server."""
        return self._local_handler

    @property
    def server(self) -> backendserver.BackendServer:
        """This VM's backend server."""
        return self._backend_server

    @property
    def gate(self) -> concurrency.Gate:
        """The gate that limits concurrency at the backend server."""
        return self._gate

    @property
    def in_flight(self) -> int:
        """Number of calls in progress, summed over all components.

        A call that passes several components counts in each; 0 means that
        nothing is left to wait for.
        """
        return (
            self._ingress.in_flight
            + self._receiver.in_flight
            + self._guard.in_flight
            + self._children.in_flight
            + self._records.running
            + self._gate.in_use
        )

    def drain(self) -> None:
        """Makes the serving side refuse new calls from now on."""
        self._serving.drain()

    def close(self) -> None:
        """Stops starting requests, and tells peers which IDs were unused."""
        self._guard.close()
        self._departures.send()

    def create_pages(self) -> requestpages.RequestPages:
        """Returns the operators' pages about requests."""
        return requestpages.create_pages(
            requestpages.Parts(self._journal, self._issuer, self._records)
        )

    def _weight_of(self, client_account: str) -> float:
        current = self._parts.configuration.in_force
        account = current and current.accounts.get(client_account)
        return account.weight if account else _DEFAULT_WEIGHT

    def _create_serving(self) -> serving.Serving:
        parts = self._parts
        clock = parts.timers.clock
        return serving.create_serving(
            serving.Parts(
                daemon=parts.settings.name,
                clock=clock,
                gate=self._gate,
                backend_server=self._backend_server,
                handles=self._handles,
                journal=self._journal,
                records=self._records,
                quarantine=quarantine.create_quarantine(
                    quarantine.Parts(parts.transport, parts.directory, clock)
                ),
                session=parts.session,
            )
        )

    def _create_request_validator(self) -> requestvalidation.RequestValidator:
        return requestvalidation.create_request_validator(
            requestvalidation.Parts(
                configuration=self._parts.configuration,
                limiter=self._parts.limiter,
                handles=self._handles,
                issuer=self._issuer,
                journal=self._journal,
            )
        )

    def _create_dispatcher(self) -> dispatching.Dispatcher:
        parts = self._parts
        forwarder = forwarding.create_forwarder(parts.transport, parts.timers)
        router = self._create_router(forwarder)
        self._children = childcalls.create_child_calls(
            parts.settings.name, parts.timers, router
        )
        recovery = self._create_recovery()
        self._guard = self._create_guard(router, recovery)
        return dispatching.create_dispatcher(
            dispatching.Parts(
                directory=parts.directory,
                issuer=self._issuer,
                guard=self._guard,
                children=self._children,
                router=router,
                forwarder=forwarder,
                recovery=recovery,
                departures=self._departures,
            )
        )

    def _create_router(self, forwarder: forwarding.Forwarder) -> routing.Router:
        parts = self._parts
        load_balancer = loadbalancing.create_load_balancer(
            random.Random(),
            parts.timers.clock,
            self._weight_of,
            parts.settings.experiment,
        )
        parts.directory.subscribe(load_balancer.on_change)
        return routing.create_router(
            routing.Parts(
                directory=parts.directory,
                load_balancer=load_balancer,
                local=self._serving,
                forwarder=forwarder,
            )
        )

    def _create_recovery(self) -> answerrecovery.Recovery:
        parts = self._parts
        inquirer = inquiries.create_inquirer(
            inquiries.Parts(parts.transport, self._journal, self._records)
        )
        return answerrecovery.create_recovery(
            answerrecovery.Parts(parts.timers.clock, parts.directory, inquirer)
        )

    def _create_guard(
        self, router: routing.Router, recovery: answerrecovery.Recovery
    ) -> guard.Guard:
        name = self._parts.settings.name
        clock = self._parts.timers.clock
        return guard.create_guard(
            guard.Parts(
                daemon=name,
                issuer=self._issuer,
                # Separate from the records of the serving side: a request whose
                # ID this daemon issued has a record here and another one at
                # the daemon that runs it, which may be this one.
                records=records.create_records(name, clock),
                journal=self._journal,
                recovery=recovery,
                admit=self._request_validator.take_token,
                children=self._children,
                target=router,
            )
        )

    def _create_ingress(self) -> ingress.Ingress:
        parts = self._parts
        return ingress.create_ingress(
            ingress.Parts(
                daemon=parts.settings.name,
                clock=parts.timers.clock,
                configuration=parts.configuration,
                request_validator=self._request_validator,
                target=self._dispatcher,
                guard=self._guard,
                children=self._children,
                handles=self._handles,
                issuer=self._issuer,
                journal=self._journal,
                body_limit_bytes=parts.settings.body_limit_bytes,
                entries=self._entries,
            )
        )

    def _entries(self) -> dict[str, dict[str, list[str]]]:
        addresses_by_service: dict[str, dict[str, list[str]]] = {}
        for record in self._parts.directory.all():
            if record.state == members.SERVING:
                centres = addresses_by_service.setdefault(record.service, {})
                addresses = centres.setdefault(record.data_centre, [])
                addresses.append(record.call_address)
        return addresses_by_service


def create_call_path(parts: Parts) -> CallPath:
    """Returns the call path of a daemon."""
    return CallPath(parts)
