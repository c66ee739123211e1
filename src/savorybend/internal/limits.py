"""Each client account's rate and burst, held over the whole fleet.

The limit is hard because tokens are moved and never estimated: a data centre
has a share of each account, its daemons own parts of the share, one allocator
lends what the parts yield, and a lent token is spent once or lapses. See
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
    """How an account stands at this daemon, for operators.

    Attributes:
        client_account: Name.
        rate_per_s: What the fleet may admit a second.
        admitted: Calls admitted here since start.
        refused: Calls refused here since start.
        at_hand: Borrowed tokens that may be spent here now.
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
    """Decides whether a client account is inside its rate."""

    async def take(
        self, account: snapshot.Account, deadline_s: float
    ) -> outcomes.Verdict:
        """Spends a token, waiting for one no longer than `deadline_s`."""

    def states(self) -> list[State]:
        """Returns how each account stands here."""


class Dependencies(typing.NamedTuple):
    """What a limiter is made of."""

    timers: timers.TimerService
    directory: allocators.Directory
    store: ledgersync.Store
    send: lending.Send
    random: random.Random


class FleetLimiter:
    """One daemon's part in the fleet's limits."""

    def __init__(self, parts: Dependencies):
        self._parts = parts
        self._clock = parts.timers.clock
        self._own = parts.directory.own
        self._current: snapshot.Snapshot | sentinels.Absence = _NOT_CONFIGURED
        self._chooser = allocators.create_chooser(parts.directory, self._clock)
        self._allocator = allocation.create_allocator(self._clock.now_s())
        self._planner = ledger.create_planner()
        self._holdings = holdings.create_holdings(self._own.incarnation)
        self._owner = self._create_owner()
        self._keeper = self._create_keeper()
        self._lender = self._create_lender()
        self._lenders = lenders.create_lenders(
            self._chooser, self._clock, self._own.data_centre
        )
        self._spender = self._create_spender()
        self._ticking = parts.timers.every(entrusting.INTERVAL_S, self._tick)

    @property
    def ledger_synchronizer(self) -> ledgersync.Synchronizer:
        """What keeps the data centre's ledger."""
        return self._keeper

    def lendable_parts(self) -> frozenset[int]:
        """Returns the parts that this daemon lends from now."""
        self._allocator.advance(self._clock.now_s())
        return self._allocator.part_indexes

    async def take(
        self, account: snapshot.Account, deadline_s: float
    ) -> outcomes.Verdict:
        """Spends a token, waiting for one no longer than `deadline_s`."""
        return await self._spender.take(account.name, deadline_s)

    def states(self) -> list[State]:
        """Returns how each account stands here."""
        if not self._current:
            return []
        allocator = self._chooser.allocator(self._own.data_centre)
        entrusted = len(self.lendable_parts())
        return [
            State(
                name,
                account.rate_per_s,
                *self._spender.counts(name),
                allocator or "",
                self._holdings.owned,
                entrusted,
            )
            for name, account in self._current.accounts.items()
        ]

    def configure(self, current: snapshot.Snapshot) -> None:
        """Puts the limits of a configuration in force."""
        self._current = current
        shares = {
            name: centre["share"]
            for name, centre in current.document["data_centres"].items()
        }
        found = {
            name: terms.create_terms(account, shares, self._own.data_centre)
            for name, account in current.accounts.items()
        }
        self._allocator.configure(found, self._clock.now_s(), current.version)
        others = tuple(c for c in shares if c != self._own.data_centre)
        self._lender.set_centres(others)
        self._lenders.set_centres(others)

    def receive(self, peer: str, message: messages.Message) -> None:
        """Takes a message of another daemon, or of this one."""
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
                from_here = self._is_here(peer)
                self._lender.on_request(peer, from_here, message)
            case messages.TokenLoan():
                # A question's sequence tells which of the two asked it.
                self._spender.on_loan(message)
                self._lender.on_loan(message)

    async def leave(self) -> None:
        """Gives up this daemon's parts, so that they don't rest unused."""
        self._owner.leave()
        while self._clock.now_s() < self._holdings.released_at_s():
            await asyncio.sleep(_LEAVE_POLL_S)
        self._owner.tick()

    def stop(self) -> None:
        """Ends the subscription to the timer service."""
        self._ticking.cancel()

    def _tick(self) -> None:
        self._owner.tick()
        metrics.LIMIT_PARTS_OWNED.set(self._holdings.owned)
        metrics.LIMIT_PARTS_ENTRUSTED.set(len(self.lendable_parts()))
        metrics.LIMIT_LEDGER_AGE_S.set(self._keeper.age_s)

    def _on_entrust(self, peer: str, message: messages.Entrust) -> None:
        now_s = self._clock.now_s()
        if message.allocator_incarnation == self._own.incarnation:
            for part in message.parts:
                self._allocator.entrust(
                    part, message.stamp_s, now_s, message.rested_s
                )
        self._planner.note_released(message.released)
        granted = self._keeper.current.granted(peer, message.owner_incarnation)
        self._send(
            peer,
            messages.Entrusted(
                message.owner_incarnation,
                self._own.incarnation,
                now_s,
                message.sent_s,
                self._keeper.age_s,
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
            # The turn that is under way ends first, as with any other peer.
            self._parts.timers.after(0.0, lambda: self.receive(peer, message))
            return
        try:
            self._parts.send(peer, message)
        except errors.PeerUnreachableError:
            # As good as lost on the way: whoever waits asks again.
            metrics.LIMIT_MESSAGES_UNSENT.inc()

    def _is_here(self, peer: str) -> bool:
        names = self._chooser.of_centre(self._own.data_centre)
        return any(record.name == peer for record in names)

    def _create_owner(self) -> entrusting.Owner:
        parts = entrusting.Dependencies(
            self._clock, self._chooser, self._own.data_centre, self._send
        )
        return entrusting.create_owner(parts, self._holdings)

    def _create_keeper(self) -> ledgersync.Synchronizer:
        parts = ledgersync.Dependencies(
            clock=self._clock,
            chooser=self._chooser,
            own=self._own,
            store=self._parts.store,
            send=self._send,
            random=self._parts.random,
        )
        return ledgersync.create_synchronizer(
            parts, self._planner, self._allocator
        )

    def _create_lender(self) -> lending.Lender:
        parts = lending.Dependencies(
            clock=self._clock,
            timers=self._parts.timers,
            chooser=self._chooser,
            data_centre=self._own.data_centre,
            send=self._send,
        )
        return lending.create_lender(parts, self._allocator)

    def _create_spender(self) -> spending.Spender:
        return spending.create_spender(
            spending.Dependencies(
                clock=self._clock,
                timers=self._parts.timers,
                lenders=self._lenders,
                send=self._send,
            )
        )


def create_limiter(parts: Dependencies) -> FleetLimiter:
    """Returns the limiter of a daemon."""
    return FleetLimiter(parts)
