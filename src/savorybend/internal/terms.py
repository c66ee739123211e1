"""Derives each account's limits in one data centre from those of the fleet."""

import hashlib
import typing

from savorybend.internal import snapshot

# A data centre's share is divided into this many parts. More parts cost more
# messages; with fewer, more of the rate is unusable when an owner is lost.
PART_COUNT = 32

LONGEST_LOAN_S = 1.0
# Lending reduces the depth of the bucket by the rate times the loan's validity.
# At most a tenth of the burst is spent on that; nine tenths stay usable.
_MAX_LOAN_FRACTION_OF_BURST = 0.1


class Terms(typing.NamedTuple):
    """The limits of an account in one data centre.

    Attributes:
        rate_per_s: Tokens added per second.
        depth: Largest number of tokens in the bucket.
        loan_s: How long a lent token is valid, in seconds.
    """

    rate_per_s: float
    depth: float
    loan_s: float


NOTHING = Terms(0.0, 0.0, 0.0)


def create_terms(
    account: snapshot.Account, shares: dict[str, float], data_centre: str
) -> Terms:
    """Returns the terms of an account in a data centre.

    A token may be spent up to `loan_s` after it was lent, so a window of time
    contains tokens lent in it and in the `loan_s` before it. The depth is
    smaller than the burst by the tokens that `loan_s` adds.

    Args:
        account: The account's limits across the fleet.
        shares: Relative share of each data centre, by name.
        data_centre: The data centre to return terms for.
    """
    rate, burst = account.rate_per_s, account.burst
    loan_s = min(
        LONGEST_LOAN_S,
        burst * _MAX_LOAN_FRACTION_OF_BURST / rate,
        # The depth must hold at least one whole token.
        max(0.0, burst - 1.0) / (2.0 * rate),
    )
    depth = burst - rate * loan_s
    fraction = _share_fraction(account.name, depth, shares, data_centre)
    return Terms(rate * fraction, depth * fraction, loan_s)


def _share_fraction(
    name: str, depth: float, shares: dict[str, float], data_centre: str
) -> float:
    total = sum(shares.values())
    if total <= 0 or data_centre not in shares:
        return 0.0
    smallest = min(share for share in shares.values() if share > 0)
    if depth * smallest / total >= 1.0:
        return shares[data_centre] / total
    # Divided, the smallest share could never hold a whole token. So one data
    # centre gets the whole account and lends to the others.
    home = ranked(name, [centre for centre in shares if shares[centre] > 0])[0]
    return 1.0 if home == data_centre else 0.0


def ranked(key: str, names: typing.Iterable[str]) -> list[str]:
    """Returns names in the order of rendezvous hashing for `key`."""

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight)
