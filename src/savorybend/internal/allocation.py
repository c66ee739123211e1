"""Lends tokens of the parts of a share that owners have entrusted here."""

import math
import typing

from savorybend.internal import terms as terms_module
from savorybend.internal.wire import limits as messages

# How long an owner entrusts its parts, in seconds. An allocator that dies or
# freezes leaves its data centre without tokens for about as long.
ENTRUST_S = 1.5

_SHORTEST_RETRY_S = 0.02
# Where nothing is entrusted, that may change with the next message.
_NOTHING_RETRY_S = 0.25
# Loans are counted by the slot of time in which they were made.
_SLOT_S = 0.125


class Grant(typing.NamedTuple):
    """Tokens lent, or too few of them.

    Attributes:
        tokens: How many.
        valid_s: How long from the request they may be spent, in seconds.
        retry_after_s: When to ask again if more were wanted, in seconds.
    """

    tokens: int
    valid_s: float
    retry_after_s: float


class _Entrusted(typing.NamedTuple):
    serial: int
    until_s: float
    lent_under: int


class _Recent:
    """Counts tokens lent lately; rounds the time up, never down."""

    def __init__(self):
        self._slots: dict[int, int] = {}

    def add(self, tokens: int, now_s: float) -> None:
        slot = math.floor(now_s / _SLOT_S)
        if slot not in self._slots:
            self._forget(now_s)
        self._slots[slot] = self._slots.get(slot, 0) + tokens

    def count(self, now_s: float, span_s: float) -> int:
        first = math.floor((now_s - span_s) / _SLOT_S)
        return sum(n for slot, n in self._slots.items() if slot >= first)

    def _forget(self, now_s: float) -> None:
        first = math.floor((now_s - terms_module.LONGEST_LOAN_S) / _SLOT_S)
        self._slots = {s: n for s, n in self._slots.items() if s >= first}


class _Bucket:
    """One account's tokens; its rate and depth follow the parts in hand."""

    def __init__(self, terms: terms_module.Terms, now_s: float):
        self.terms = terms
        self.tokens = 0.0
        self.time_s = now_s
        self.changed_s = now_s - terms_module.LONGEST_LOAN_S
        self.recent = _Recent()

    def level(self, now_s: float) -> float:
        # The bucket of a change that is still to start lends nothing.
        return self.tokens if self.time_s <= now_s else 0.0

    def fill(self, to_s: float, part: float) -> None:
        if to_s <= self.time_s:
            return
        passed_s = to_s - self.time_s
        self.time_s = to_s
        self.tokens += passed_s * self.terms.rate_per_s * part
        self.clamp(part)

    def credit(self, rested_s: float, now_s: float) -> None:
        if self.time_s > now_s or not self.terms.rate_per_s:
            return
        whole = min(rested_s * self.terms.rate_per_s, self.terms.depth)
        self.tokens += whole / terms_module.PART_COUNT

    def clamp(self, part: float) -> None:
        self.tokens = min(self.tokens, self.terms.depth * part)

    def change(
        self, terms: terms_module.Terms, now_s: float, part: float
    ) -> None:
        # Loans that are out count as lent at the change, under the new terms.
        # Where those would lapse sooner, the new bucket starts later instead.
        before_s = self.terms.loan_s
        if now_s - self.changed_s < terms_module.LONGEST_LOAN_S:
            # Loans of the terms before these may be out as well.
            before_s = terms_module.LONGEST_LOAN_S
        out = self.recent.count(now_s, before_s)
        self.terms = terms
        self.changed_s = now_s
        self.tokens = min(self.tokens, terms.depth * part - out)
        start_s = now_s + max(0.0, before_s - terms.loan_s)
        self.time_s = max(self.time_s, start_s)


class Allocator:
    """The tokens of every account that may be lent here.

    An allocator needs no right of its own. It lends what it was entrusted
    with, so that any number of daemons may act as allocators at a time: parts
    are disjoint, and each is entrusted to one allocator.
    """

    def __init__(self, now_s: float):
        self._time_s = now_s
        self._parts: dict[int, _Entrusted] = {}
        # Stamps up to these are void, since their part was withdrawn since.
        self._void_s: dict[int, float] = {}
        self._next_lapse_s = float("inf")
        self._terms: dict[str, terms_module.Terms] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._version = messages.NEVER_LENT
        # The configuration before the one that brought an account.
        self._absent_under: dict[str, int] = {}

    @property
    def version(self) -> int:
        """The configuration in force."""
        return self._version

    @property
    def part_count(self) -> int:
        """How many parts are entrusted."""
        return len(self._parts)

    @property
    def part_indexes(self) -> frozenset[int]:
        """Which parts are entrusted."""
        return frozenset(self._parts)

    def configure(
        self,
        terms: dict[str, terms_module.Terms],
        now_s: float,
        version: int,
    ) -> None:
        """Puts new terms in force; tokens out on loan stay counted.

        Args:
            terms: By client account.
            now_s: Now.
            version: The configuration's version.
        """
        self.advance(now_s)
        self._terms = terms
        for name in terms:
            self._absent_under.setdefault(name, self._version)
        self._version = version
        for name, bucket in self._buckets.items():
            wanted = terms.get(name, terms_module.NOTHING)
            if wanted != bucket.terms:
                bucket.change(wanted, now_s, self._part)
        # Every account fills from now on, before its first call comes.
        for name in terms:
            self._bucket(name, now_s)

    def entrust(
        self,
        part: messages.Part,
        stamp_s: float,
        now_s: float,
        rested_s: float = 0.0,
    ) -> bool:
        """Takes a part in hand; returns whether it still counts.

        Args:
            part: Which part.
            stamp_s: This allocator's stamp that the owner sent back. The
                owner keeps its word from a later instant than this.
            now_s: Now.
            rested_s: How long nobody could lend from the part before. What
                it yielded meanwhile is there to be lent.
        """
        self.advance(now_s)
        until_s = stamp_s + ENTRUST_S
        if not now_s < until_s or stamp_s > now_s:
            return False
        if stamp_s <= self._void_s.get(part.index, float("-inf")):
            # A message from before the part was withdrawn, late on its way.
            return False
        known = self._parts.get(part.index)
        if known is not None and known.serial > part.serial:
            return False
        lent_under = part.lent_under
        if known is not None:
            same = known.serial == part.serial
            lent_under = known.lent_under if same else messages.LENT_UNKNOWN
            until_s = max(until_s, known.until_s) if same else until_s
        self._parts[part.index] = _Entrusted(part.serial, until_s, lent_under)
        if known is None:
            self._credit(lent_under, rested_s, now_s)
        self._note_next_lapse()
        return True

    def withdraw(self, index: int, serial: int, now_s: float) -> None:
        """Gives a part back; what it yielded is kept only up to the depth."""
        self.advance(now_s)
        self._void_s[index] = now_s
        known = self._parts.get(index)
        if known is not None and known.serial <= serial:
            self._drop(index)

    def loan_s(self, name: str) -> float:
        """Returns how long lent tokens of an account hold, in seconds."""
        return self._terms.get(name, terms_module.NOTHING).loan_s

    def level(self, name: str, now_s: float) -> float:
        """Returns the tokens that could be lent now."""
        return self._bucket(name, now_s).level(now_s)

    def lend(self, name: str, wanted: int, now_s: float) -> Grant:
        """Lends up to `wanted` tokens of an account."""
        bucket = self._bucket(name, now_s)
        tokens = max(0, min(wanted, math.floor(bucket.level(now_s))))
        bucket.tokens -= tokens
        bucket.recent.add(tokens, now_s)
        retry_after_s = 0.0
        if tokens < wanted:
            retry_after_s = self._retry_after_s(bucket)
        return Grant(tokens, bucket.terms.loan_s, retry_after_s)

    def lend_spare(self, name: str, wanted: int, now_s: float) -> int:
        """Lends up to `wanted` tokens from the upper half of a bucket.

        What lapses unspent there would mostly have overflowed.
        """
        bucket = self._bucket(name, now_s)
        half = bucket.terms.depth * self._part / 2
        spare = math.floor(bucket.level(now_s) - half)
        if spare <= 0:
            return 0
        return self.lend(name, min(wanted, spare), now_s).tokens

    def advance(self, now_s: float) -> None:
        """Drops the parts that have lapsed, each at its own time."""
        if now_s < self._next_lapse_s:
            self._fill(now_s)
            return
        lapsing = sorted(
            (part.until_s, index)
            for index, part in self._parts.items()
            if part.until_s <= now_s
        )
        for until_s, index in lapsing:
            self._fill(until_s)
            self._drop(index)
        self._fill(now_s)
        self._note_next_lapse()

    def _note_next_lapse(self) -> None:
        self._next_lapse_s = min(
            (part.until_s for part in self._parts.values()),
            default=float("inf"),
        )

    def _credit(self, lent_under: int, rested_s: float, now_s: float) -> None:
        for name, bucket in self._buckets.items():
            # Nobody has lent of an account that was yet to come, so that its
            # part is full.
            full = lent_under <= self._absent_under.get(name, -1)
            bucket.credit(math.inf if full else rested_s, now_s)

    def _drop(self, index: int) -> None:
        del self._parts[index]
        for bucket in self._buckets.values():
            bucket.clamp(self._part)

    @property
    def _part(self) -> float:
        return len(self._parts) / terms_module.PART_COUNT

    def _fill(self, to_s: float) -> None:
        if to_s <= self._time_s:
            return
        self._time_s = to_s
        for bucket in self._buckets.values():
            bucket.fill(to_s, self._part)

    def _bucket(self, name: str, now_s: float) -> _Bucket:
        self.advance(now_s)
        found = self._buckets.get(name)
        if found is None:
            terms = self._terms.get(name, terms_module.NOTHING)
            found = _Bucket(terms, now_s)
            found.tokens = terms.depth * self._unlent_part(name)
            if name in self._terms:
                # One that is yet to come here has its full start before it.
                self._buckets[name] = found
        return found

    def _unlent_part(self, name: str) -> float:
        """Returns the part of the share that nobody has lent of an account."""
        absent_under = self._absent_under.get(name, -1)
        unlent = sum(
            part.lent_under <= absent_under for part in self._parts.values()
        )
        return unlent / terms_module.PART_COUNT

    def _retry_after_s(self, bucket: _Bucket) -> float:
        rate = bucket.terms.rate_per_s * self._part
        if rate <= 0:
            return _NOTHING_RETRY_S
        missing = max(0.0, 1.0 - bucket.tokens)
        return max(_SHORTEST_RETRY_S, missing / rate)


def create_allocator(now_s: float) -> Allocator:
    """Returns an allocator that nothing is entrusted to yet."""
    return Allocator(now_s)
