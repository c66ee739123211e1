"""Enforces each client account's rate and burst across the whole fleet.

The limit is exact because tokens are transferred and never estimated. A data
centre has a share of each account's rate. The share is divided into parts that
its daemons own. The owners entrust their parts to one allocator, which lends
the tokens that the parts yield. A lent token is spent once or expires. See
docs/design/limits.md for why the bound holds.
"""

import asyncio
import random
import typing

from savorybend.internal import allocation
from savorybend.internal import allocators
from savorybend.internal import entrusting
from savorybend.internal import errors
from savorybend.internal import holdings
from savorybend.internal import ledger
from savorybend.internal import ledgersync
from savorybend.internal import lenders
from savorybend.internal import lending
from savorybend.internal import metrics
from savorybend.internal import outcomes
from savorybend.internal import sentinels
from savorybend.internal import snapshot
from savorybend.internal import spending
from savorybend.internal import terms
from savorybend.internal import timers
from savorybend.internal.wire import limits as messages

_LEAVE_POLL_S = 0.05

_NOT_CONFIGURED = sentinels.create(
    "NOT_CONFIGURED", "no configuration is in force yet"
)


class State(typing.NamedTuple):
    """The state of an account at this daemon, for operators.

    Attributes:
        client_account: The account's name.
        rate_per_s: Calls per second that the whole fleet may admit.
        admitted: Calls admitted here since start.
        refused: Calls refused here since start.
        at_hand: Borrowed tokens that this daemon may spend now.
        allocator: The daemon that this one borrows from.
        parts_owned: Parts of the data centre's share that this daemon owns.
        parts_entrusted: Parts that it lends from as an allocator.
    """

    client_account: str
    rate_per_s: float
    admitted: int
    refused: int
    at_hand: int
    allocator: str
    parts_owned: int
    parts_entrusted: int


class Limiter(typing.Protocol):
    """Decides whether a call is within its client account's limit."""

    async def take(
        self, account: snapshot.Account, deadline_s: float
    ) -> outcomes.Verdict:
        """Spends a token, waiting for one no longer than `deadline_s`."""

    def states(self) -> list[State]:
        """Returns the state of each account at this daemon."""


class Dependencies(typing.NamedTuple):
    """Services that a limiter uses."""

    timers: timers.TimerService
    directory: allocators.Directory
    store: ledgersync.Store
    send: lending.Send
    random: random.Random


class FleetLimiter:
    """One daemon's component of the fleet-wide rate limiter."""

    def __init__(self, dependencies: Dependencies):
        self._dependencies = dependencies
        self._clock = dependencies.timers.clock
        self._own = dependencies.directory.own
        self._current: snapshot.Snapshot | sentinels.Absence = _NOT_CONFIGURED
        self._chooser = allocators.create_chooser(
            dependencies.directory, self._clock
        )
        self._allocator = allocation.create_allocator(self._clock.now_s())
        self._planner = ledger.create_planner()
        self._holdings = holdings.create_holdings(self._own.incarnation)
        self._owner = self._create_owner()
        self._synchronizer = self._create_synchronizer()
        self._lender = self._create_lender()
        self._lenders = lenders.create_lenders(
            self._chooser, self._clock, self._own.data_centre
        )
        self._spender = self._create_spender()
        self._timer = dependencies.timers.every(
            entrusting.INTERVAL_S, self._tick
        )

    @property
    def ledger_synchronizer(self) -> ledgersync.Synchronizer:
        """Synchronises the data centre's ledger with the platform."""
        return self._synchronizer

    def lendable_parts(self) -> frozenset[int]:
        """Returns the indexes of the parts that this daemon lends from now."""
        self._allocator.advance(self._clock.now_s())
        return self._allocator.part_indexes

    async def take(
        self, account: snapshot.Account, deadline_s: float
    ) -> outcomes.Verdict:
        """Spends a token, waiting for one no longer than `deadline_s`."""
        return await self._spender.take(account.name, deadline_s)

    def states(self) -> list[State]:
        """Returns the state of each account at this daemon."""
        if not self._current:
            return []
        allocator = self._chooser.allocator(self._own.data_centre)
        part_count = len(self.lendable_parts())
        return [
            State(
                name,
                account.rate_per_s,
                *self._spender.counts(name),
                allocator or "",
                self._holdings.owned,
                part_count,
            )
            for name, account in self._current.accounts.items()
        ]

    def configure(self, current: snapshot.Snapshot) -> None:
        """Applies the limits of a configuration."""
        self._current = current
        shares = {
            name: centre["share"]
            for name, centre in current.document["data_centres"].items()
        }
        terms_by_account = {
            name: terms.create_terms(account, shares, self._own.data_centre)
            for name, account in current.accounts.items()
        }
        self._allocator.configure(
            terms_by_account, self._clock.now_s(), current.version
        )
        others = tuple(c for c in shares if c != self._own.data_centre)
        self._lender.set_centres(others)
        self._lenders.set_centres(others)

    def receive(self, peer: str, message: messages.Message) -> None:
        """Handles a message from another daemon or from this one."""
        match message:
            case messages.Entrust():
                self._on_entrust(peer, message)
            case messages.Entrusted():
                self._owner.on_entrusted(peer, message)
            case messages.Withdraw():
                self._on_withdraw(peer, message)
            case messages.Withdrawn():
                self._owner.on_withdrawn(peer, message)
            case messages.TokenRequest():
                is_local = self._is_local(peer)
                self._lender.on_request(peer, is_local, message)
            case messages.TokenLoan():
                # Each matches the loan by the sequence of its own requests and
                # ignores a loan for the other.
                self._spender.on_loan(message)
                self._lender.on_loan(message)

    async def leave(self) -> None:
        """Releases this daemon's parts, so that they don't stay unused.

        Waits until no allocator can lend from them, then reports the release.
        """
        self._owner.leave()
        while self._clock.now_s() < self._holdings.released_at_s():
            await asyncio.sleep(_LEAVE_POLL_S)
        self._owner.tick()

    def stop(self) -> None:
        """Cancels the periodic timer."""
        self._timer.cancel()

    def _tick(self) -> None:
        self._owner.tick()
        metrics.LIMIT_PARTS_OWNED.set(self._holdings.owned)
        metrics.LIMIT_PARTS_ENTRUSTED.set(len(self.lendable_parts()))
        metrics.LIMIT_LEDGER_AGE_S.set(self._synchronizer.age_s)

    def _on_entrust(self, peer: str, message: messages.Entrust) -> None:
        now_s = self._clock.now_s()
        if message.allocator_incarnation == self._own.incarnation:
            for part in message.parts:
                self._allocator.entrust(
                    part, message.stamp_s, now_s, message.idle_s
                )
        self._planner.note_released(message.released)
        granted = self._synchronizer.current.granted(
            peer, message.owner_incarnation
        )
        self._send(
            peer,
            messages.Entrusted(
                message.owner_incarnation,
                self._own.incarnation,
                now_s,
                message.sent_s,
                self._synchronizer.age_s,
                tuple(granted),
            ),
        )

    def _on_withdraw(self, peer: str, message: messages.Withdraw) -> None:
        now_s = self._clock.now_s()
        for part in message.parts:
            self._allocator.withdraw(part.index, part.serial, now_s)
        self._send(
            peer,
            messages.Withdrawn(
                message.owner_incarnation,
                self._own.incarnation,
                message.sent_s,
                message.parts,
                self._allocator.version,
            ),
        )

    def _send(self, peer: str, message: messages.Message) -> None:
        if peer == self._own.name:
            # Deferred, so that the current callback finishes first, as it
            # does for a message to another daemon.
            self._dependencies.timers.after(
                0.0, lambda: self.receive(peer, message)
            )
            return
        try:
            self._dependencies.send(peer, message)
        except errors.PeerUnreachableError:
            # Treated like a message lost in transit: whoever waits for an
            # answer retries.
            metrics.LIMIT_MESSAGES_UNSENT.inc()

    def _is_local(self, peer: str) -> bool:
        records = self._chooser.of_centre(self._own.data_centre)
        return any(record.name == peer for record in records)

    def _create_owner(self) -> entrusting.Owner:
        dependencies = entrusting.Dependencies(
            self._clock,
            self._dependencies.timers,
            self._chooser,
            self._own.data_centre,
            self._send,
        )
        return entrusting.create_owner(dependencies, self._holdings)

    def _create_synchronizer(self) -> ledgersync.Synchronizer:
        dependencies = ledgersync.Dependencies(
            clock=self._clock,
            chooser=self._chooser,
            own=self._own,
            store=self._dependencies.store,
            send=self._send,
            random=self._dependencies.random,
        )
        return ledgersync.create_synchronizer(
            dependencies, self._planner, self._allocator
        )

    def _create_lender(self) -> lending.Lender:
        dependencies = lending.Dependencies(
            clock=self._clock,
            timers=self._dependencies.timers,
            chooser=self._chooser,
            data_centre=self._own.data_centre,
            send=self._send,
        )
        return lending.create_lender(dependencies, self._allocator)

    def _create_spender(self) -> spending.Spender:
        return spending.create_spender(
            spending.Dependencies(
                clock=self._clock,
                timers=self._dependencies.timers,
                lenders=self._lenders,
                send=self._send,
            )
        )


def create_limiter(dependencies: Dependencies) -> FleetLimiter:
    """Returns the limiter of a daemon."""
    return FleetLimiter(dependencies)
