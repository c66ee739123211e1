"""Lends tokens from the parts of a share that are entrusted to this daemon."""

import math
import typing

from savorybend.internal import terms as terms_module
from savorybend.internal.wire import limits as messages

# How long an owner entrusts its parts to an allocator, in seconds. If an
# allocator crashes or freezes, its data centre has no tokens for about as long.
ENTRUST_S = 1.5

_MIN_RETRY_S = 0.02
# Retry delay while no part is entrusted here; the next message may change that.
_NO_PARTS_RETRY_S = 0.25
# Width of the time slots in which recent loans are counted.
_SLOT_S = 0.125


class Grant(typing.NamedTuple):
    """The result of a request for tokens.

    Attributes:
        tokens: Number of tokens lent; may be fewer than requested.
        valid_s: How long after the request they may be spent, in seconds.
        retry_after_s: Seconds until more may be requested; zero if all the
            requested tokens were lent.
    """

    tokens: int
    valid_s: float
    retry_after_s: float


class _Entrusted(typing.NamedTuple):
    serial: int
    until_s: float
    lent_under: int


class _RecentLoans:
    """Counts recently lent tokens by time slot.

    A slot that lies only partly in the counted span counts whole, so that the
    count is never too low.
    """

    def __init__(self):
        self._slots: dict[int, int] = {}

    def add(self, tokens: int, now_s: float) -> None:
        slot = math.floor(now_s / _SLOT_S)
        if slot not in self._slots:
            self._drop_old_slots(now_s)
        self._slots[slot] = self._slots.get(slot, 0) + tokens

    def count(self, now_s: float, span_s: float) -> int:
        first = math.floor((now_s - span_s) / _SLOT_S)
        return sum(n for slot, n in self._slots.items() if slot >= first)

    def _drop_old_slots(self, now_s: float) -> None:
        first = math.floor((now_s - terms_module.LONGEST_LOAN_S) / _SLOT_S)
        self._slots = {s: n for s, n in self._slots.items() if s >= first}


class _Bucket:
    """Token bucket of one account.

    Its rate and depth are proportional to the fraction of the parts that is
    entrusted to this daemon.
    """

    def __init__(self, terms: terms_module.Terms, now_s: float):
        self.terms = terms
        self.tokens = 0.0
        self.time_s = now_s
        self.changed_s = now_s - terms_module.LONGEST_LOAN_S
        self.recent_loans = _RecentLoans()

    def level(self, now_s: float) -> float:
        # After a change of terms, the bucket lends nothing until its start
        # time, which may still lie ahead.
        return self.tokens if self.time_s <= now_s else 0.0

    def fill(self, to_s: float, fraction: float) -> None:
        if to_s <= self.time_s:
            return
        passed_s = to_s - self.time_s
        self.time_s = to_s
        self.tokens += passed_s * self.terms.rate_per_s * fraction
        self.clamp(fraction)

    def credit(self, idle_s: float, now_s: float) -> None:
        if self.time_s > now_s or not self.terms.rate_per_s:
            return
        whole = min(idle_s * self.terms.rate_per_s, self.terms.depth)
        self.tokens += whole / terms_module.PART_COUNT

    def clamp(self, fraction: float) -> None:
        self.tokens = min(self.tokens, self.terms.depth * fraction)

    def change(
        self, terms: terms_module.Terms, now_s: float, fraction: float
    ) -> None:
        # Outstanding loans count as if they were lent at the change, under the
        # new terms. If tokens expire sooner under the new terms, the new bucket
        # starts later by the difference.
        previous_loan_s = self.terms.loan_s
        if now_s - self.changed_s < terms_module.LONGEST_LOAN_S:
            # Loans under still earlier terms may be outstanding as well.
            previous_loan_s = terms_module.LONGEST_LOAN_S
        outstanding = self.recent_loans.count(now_s, previous_loan_s)
        self.terms = terms
        self.changed_s = now_s
        self.tokens = min(self.tokens, terms.depth * fraction - outstanding)
        start_s = now_s + max(0.0, previous_loan_s - terms.loan_s)
        self.time_s = max(self.time_s, start_s)


class Allocator:
    """Token buckets of every account, filled by the entrusted parts.

    An allocator needs no election or lock. It lends only from the parts that
    are entrusted to it, so any number of daemons may act as allocators at the
    same time: parts are disjoint, and each is entrusted to one allocator.
    """

    def __init__(self, now_s: float):
        self._time_s = now_s
        self._parts: dict[int, _Entrusted] = {}
        # When each part was last withdrawn. Messages that carry this stamp or
        # an older one were sent before that and are ignored.
        self._withdrawn_at_s: dict[int, float] = {}
        self._next_expiry_s = float("inf")
        self._terms: dict[str, terms_module.Terms] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._version = messages.NEVER_LENT
        # For each account, the version of the configuration that preceded the
        # one that added it.
        self._absent_under: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self._version

    @property
    def part_count(self) -> int:
        """Number of parts that are entrusted to this daemon."""
        return len(self._parts)

    @property
    def part_indexes(self) -> frozenset[int]:
        """Indexes of the parts that are entrusted to this daemon."""
        return frozenset(self._parts)

    def configure(
        self,
        terms: dict[str, terms_module.Terms],
        now_s: float,
        version: int,
    ) -> None:
        """Applies new terms; outstanding loans stay counted.

        Args:
            terms: Terms by client account.
            now_s: Current time in seconds.
            version: Version of the configuration.
        """
        self.advance(now_s)
        self._terms = terms
        for name in terms:
            self._absent_under.setdefault(name, self._version)
        self._version = version
        for name, bucket in self._buckets.items():
            wanted = terms.get(name, terms_module.NOTHING)
            if wanted != bucket.terms:
                bucket.change(wanted, now_s, self._fraction)
        # Creates every bucket now, so that it fills before the account's first
        # call.
        for name in terms:
            self._bucket(name, now_s)

    def entrust(
        self,
        part: messages.Part,
        stamp_s: float,
        now_s: float,
        idle_s: float = 0.0,
    ) -> bool:
        """Accepts a part for `ENTRUST_S`; returns False if it is outdated.

        Args:
            part: The part.
            stamp_s: The newest time stamp of this allocator that the owner
                knows. The owner counts `ENTRUST_S` from a later instant, so
                this allocator stops lending before the owner takes it as over.
            now_s: Current time in seconds.
            idle_s: Seconds before this message in which no allocator could
                lend from the part. The tokens it yielded then may be lent.
        """
        self.advance(now_s)
        until_s = stamp_s + ENTRUST_S
        if not now_s < until_s or stamp_s > now_s:
            return False
        if stamp_s <= self._withdrawn_at_s.get(part.index, float("-inf")):
            # A delayed message from before the part was withdrawn.
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
            self._credit_idle_time(lent_under, idle_s, now_s)
        self._update_next_expiry()
        return True

    def withdraw(self, index: int, serial: int, now_s: float) -> None:
        """Stops lending from a part.

        Tokens that it yielded are kept up to the reduced depth.
        """
        self.advance(now_s)
        self._withdrawn_at_s[index] = now_s
        known = self._parts.get(index)
        if known is not None and known.serial <= serial:
            self._drop(index)

    def loan_s(self, name: str) -> float:
        """Returns how long lent tokens of an account are valid, in seconds."""
        return self._terms.get(name, terms_module.NOTHING).loan_s

    def level(self, name: str, now_s: float) -> float:
        """Returns the number of tokens that may be lent now."""
        return self._bucket(name, now_s).level(now_s)

    def lend(self, name: str, wanted: int, now_s: float) -> Grant:
        """Lends up to `wanted` tokens of an account."""
        bucket = self._bucket(name, now_s)
        tokens = max(0, min(wanted, math.floor(bucket.level(now_s))))
        bucket.tokens -= tokens
        bucket.recent_loans.add(tokens, now_s)
        retry_after_s = 0.0
        if tokens < wanted:
            retry_after_s = self._retry_after_s(bucket)
        return Grant(tokens, bucket.terms.loan_s, retry_after_s)

    def lend_spare(self, name: str, wanted: int, now_s: float) -> int:
        """Lends up to `wanted` tokens from the upper half of a bucket.

        If these tokens expire unspent, little is lost: most would have
        overflowed the bucket.
        """
        bucket = self._bucket(name, now_s)
        half = bucket.terms.depth * self._fraction / 2
        spare = math.floor(bucket.level(now_s) - half)
        if spare <= 0:
            return 0
        return self.lend(name, min(wanted, spare), now_s).tokens

    def advance(self, now_s: float) -> None:
        """Fills the buckets up to `now_s` and drops each part as it expires."""
        if now_s < self._next_expiry_s:
            self._fill(now_s)
            return
        expiring = sorted(
            (part.until_s, index)
            for index, part in self._parts.items()
            if part.until_s <= now_s
        )
        for until_s, index in expiring:
            self._fill(until_s)
            self._drop(index)
        self._fill(now_s)
        self._update_next_expiry()

    def _update_next_expiry(self) -> None:
        self._next_expiry_s = min(
            (part.until_s for part in self._parts.values()),
            default=float("inf"),
        )

    def _credit_idle_time(
        self, lent_under: int, idle_s: float, now_s: float
    ) -> None:
        for name, bucket in self._buckets.items():
            # If the part was last lent from before the account existed, nobody
            # has lent this account's tokens from it, so the part is full.
            full = lent_under <= self._absent_under.get(name, -1)
            bucket.credit(math.inf if full else idle_s, now_s)

    def _drop(self, index: int) -> None:
        del self._parts[index]
        for bucket in self._buckets.values():
            bucket.clamp(self._fraction)

    @property
    def _fraction(self) -> float:
        return len(self._parts) / terms_module.PART_COUNT

    def _fill(self, to_s: float) -> None:
        if to_s <= self._time_s:
            return
        self._time_s = to_s
        for bucket in self._buckets.values():
            bucket.fill(to_s, self._fraction)

    def _bucket(self, name: str, now_s: float) -> _Bucket:
        self.advance(now_s)
        found = self._buckets.get(name)
        if found is None:
            terms = self._terms.get(name, terms_module.NOTHING)
            found = _Bucket(terms, now_s)
            found.tokens = terms.depth * self._unlent_fraction(name)
            if name in self._terms:
                # Not stored for an account without terms here, so that it
                # starts full once its terms arrive.
                self._buckets[name] = found
        return found

    def _unlent_fraction(self, name: str) -> float:
        """Returns the fraction of the share never lent from for an account."""
        absent_under = self._absent_under.get(name, -1)
        unlent = sum(
            part.lent_under <= absent_under for part in self._parts.values()
        )
        return unlent / terms_module.PART_COUNT

    def _retry_after_s(self, bucket: _Bucket) -> float:
        rate = bucket.terms.rate_per_s * self._fraction
        if rate <= 0:
            return _NO_PARTS_RETRY_S
        missing = max(0.0, 1.0 - bucket.tokens)
        return max(_MIN_RETRY_S, missing / rate)


def create_allocator(now_s: float) -> Allocator:
    """Returns an allocator to which no part is entrusted yet."""
    return Allocator(now_s)
