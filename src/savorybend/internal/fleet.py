"""Assembles a daemon's membership, joining and configuration spread."""

import asyncio
import collections.abc
import random
import time
import typing

import aiohttp

from savorybend.internal import announcing
from savorybend.internal import bootstrap
from savorybend.internal import configdistribution
from savorybend.internal import configstore
from savorybend.internal import configwatch
from savorybend.internal import httpserver
from savorybend.internal import joining
from savorybend.internal import members
from savorybend.internal import membership
from savorybend.internal import nameclaims
from savorybend.internal import platform
from savorybend.internal import settings as settings_module
from savorybend.internal import signing
from savorybend.internal import sweeping
from savorybend.internal import timers
from savorybend.internal.wire import membership as wire

# Lets the last messages be sent before the connections close.
_LEAVE_FLUSH_S = 0.2


class Parts(typing.NamedTuple):
    """Dependencies of `Fleet`."""

    settings: settings_module.Settings
    directory: members.Directory
    transport: membership.Transport
    timers: timers.TimerService
    configuration: configstore.Store
    store: platform.Platform
    session: aiohttp.ClientSession
    rng: random.Random
    signer: signing.Signer


class Fleet:
    """Membership, joining and configuration of one daemon."""

    def __init__(self, parts: Parts):
        self._parts = parts
        clock = parts.timers.clock
        self._membership = _create_membership(parts)
        self._announcer = announcing.create_announcer(
            parts.directory, parts.store, parts.rng
        )
        self._bootstrap = bootstrap.create_bootstrap(
            bootstrap.Parts(
                self._membership,
                parts.directory,
                self._announcer,
                joining.create_join_client(
                    parts.settings.fleet_secret, parts.session
                ),
                parts.settings.seeds,
                parts.rng,
            )
        )
        self._join_handler = joining.create_join_handler(
            parts.settings.fleet_secret, clock, self._admit
        )
        self._claim_resolver = nameclaims.create_claim_resolver(
            self._membership.roster, parts.store, parts.rng
        )
        self._sweeper = sweeping.create_sweeper(
            self._membership.roster,
            parts.directory,
            self._announcer,
            parts.rng,
        )
        self._watcher = configwatch.create_watcher(
            configwatch.Parts(
                parts.configuration,
                parts.store,
                parts.directory,
                clock,
                parts.rng,
            )
        )

    @property
    def join(self) -> httpserver.Handler:
        """Handles the join requests of other daemons."""
        return self._join_handler.handle

    def subscribe_replaced(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Registers `listener` for a later start under this daemon's name."""
        self._membership.roster.subscribe_replaced(listener)

    def start(self) -> list[collections.abc.Coroutine]:
        """Starts membership.

        Returns:
            The coroutines to run until the daemon stops.
        """
        self._membership.start()
        return [
            self._bootstrap.run(),
            self._claim_resolver.run(),
            self._sweeper.run(),
            self._watcher.run(),
        ]

    async def _admit(self, request: wire.JoinRequest) -> wire.JoinReply:
        reply = self._bootstrap.answer(request)
        await self._claim_resolver.admit(request.record.name)
        return reply

    def set_draining(self, draining: bool) -> None:
        """Announces to the fleet whether this daemon is draining."""
        state = members.DRAINING if draining else members.SERVING
        self._membership.set_state(state)

    async def leave(self) -> None:
        """Announces the departure and removes the platform's object."""
        self._membership.leave()
        await self._announcer.withdraw()
        await asyncio.sleep(_LEAVE_FLUSH_S)
        self._membership.stop()


def _create_membership(parts: Parts) -> membership.Membership:
    distributor = configdistribution.create_distributor(
        parts.configuration, parts.transport, parts.timers
    )
    created = membership.create_membership(
        membership.Parts(
            parts.directory,
            parts.transport,
            parts.timers,
            parts.rng,
            distributor,
            parts.signer,
        )
    )
    parts.configuration.subscribe(lambda _: created.announce_standing())
    return created


def create_record(
    settings: settings_module.Settings, public_key: str, signer: signing.Signer
) -> members.Record:
    """Returns the signed record of a daemon that starts now."""
    record = members.Record(
        name=settings.name,
        # A daemon is never started twice in one millisecond, and a replaced
        # VM has no disk that keeps a counter of starts.
        incarnation=time.time_ns() // 1_000_000,
        data_centre=settings.data_centre,
        service=settings.service,
        call_address=str(
            settings.announced_call_address or settings.call_address
        ),
        peer_address=str(
            settings.announced_peer_address or settings.peer_address
        ),
        admin_address=str(
            settings.announced_admin_address or settings.admin_address
        ),
        public_key=public_key,
    )
    return signer.sign(record)


def create_fleet(parts: Parts) -> Fleet:
    """Returns the fleet of the daemon that owns `parts.directory`."""
    return Fleet(parts)
