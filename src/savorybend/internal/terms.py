"""What a data centre may admit of each client account."""

import hashlib
import typing

from savorybend.internal import snapshot

# A data centre's share is owned in this many parts. More of them cost more
# messages; fewer of them withhold more rate when an owner is lost.
PART_COUNT = 32

LONGEST_LOAN_S = 1.0
# Lending costs depth, rate times the loan's time; a tenth of the burst is
# given up for it and nine tenths are left to be used as burst.
_LENT_PART_OF_BURST = 0.1


class Terms(typing.NamedTuple):
    """The limits of an account in one data centre.

    Attributes:
        rate_per_s: Tokens added a second.
        depth: Most tokens that are kept.
        loan_s: How long a lent token may be spent, in seconds.
    """

    rate_per_s: float
    depth: float
    loan_s: float


NOTHING = Terms(0.0, 0.0, 0.0)


def create_terms(
    account: snapshot.Account, shares: dict[str, float], data_centre: str
) -> Terms:
    """Returns the terms of an account in a data centre.

    A token lent at one instant may be spent up to `loan_s` later, so a window
    sees the tokens lent in it and in the `loan_s` before it. The depth is
    smaller than the burst by what those add.

    Args:
        account: The account's limits over the fleet.
        shares: Each data centre's share, against the others'.
        data_centre: Whose terms.
    """
    rate, burst = account.rate_per_s, account.burst
    loan_s = min(
        LONGEST_LOAN_S,
        burst * _LENT_PART_OF_BURST / rate,
        # At least one whole token has to fit into the depth.
        max(0.0, burst - 1.0) / (2.0 * rate),
    )
    depth = burst - rate * loan_s
    part = _part(account.name, depth, shares, data_centre)
    return Terms(rate * part, depth * part, loan_s)


def _part(
    name: str, depth: float, shares: dict[str, float], data_centre: str
) -> float:
    total = sum(shares.values())
    if total <= 0 or data_centre not in shares:
        return 0.0
    smallest = min(share for share in shares.values() if share > 0)
    if depth * smallest / total >= 1.0:
        return shares[data_centre] / total
    # Divided, no data centre could ever hold a whole token. One of them holds
    # the account and lends to the others.
    home = ranked(name, [centre for centre in shares if shares[centre] > 0])[0]
    return 1.0 if home == data_centre else 0.0


def ranked(key: str, names: typing.Iterable[str]) -> list[str]:
    """Returns names in the order of rendezvous hashing for `key`."""

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight)
