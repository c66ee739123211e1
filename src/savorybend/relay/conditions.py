"""Conditions that a backend server names in its responses."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Unlimited:
    """No limit is named: the backend server takes any number of requests."""


@dataclasses.dataclass(frozen=True)
class Limited:
    """The backend server names a limit.

    Attributes:
        rate_per_s: Requests per second that it takes from all daemons together;
            0 or more.
    """

    rate_per_s: float


@dataclasses.dataclass(frozen=True)
class Invalid:
    """The named limit isn't a valid number.

    Attributes:
        value: What was received, cut to a bounded length.
    """

    value: bytes


Limit = Unlimited | Limited | Invalid


class Conditions(typing.NamedTuple):
    """What one response says of the backend server.

    Attributes:
        limit: The limit on requests.
        leaving: Whether the backend server is about to shut down.
    """

    limit: Limit
    leaving: bool


def stricter(first: Limit, second: Limit) -> Limit:
    """Returns the limit that satisfies both; an invalid one comes before any.

    Args:
        first: A limit.
        second: Another limit of the same response.
    """
    match first, second:
        case Invalid(), _:
            return first
        case Limited(rate_per_s=one), Limited(rate_per_s=other):
            return Limited(min(one, other))
        case Limited(), Unlimited():
            return first
    return second
