"""Request IDs, which name the daemon that issued them.

An ID has the form `ISSUER.INCARNATION.SEQUENCE`, the latter two in
hexadecimal. Each level of child calls appends `/NUMBER`.
"""

import re
import typing

from savorybend.internal import sentinels

MALFORMED = sentinels.create("MALFORMED", "that is not a request ID")

_MAX_LENGTH = 400
_PATTERN = re.compile(
    r"([a-z0-9][a-z0-9-]{0,62})\.([0-9a-f]{1,16})\.([0-9a-f]{1,16})"
    r"((?:/[0-9]{1,6})*)"
)


class RequestId(typing.NamedTuple):
    """A parsed request ID.

    Attributes:
        issuer: Name of the daemon that issued it.
        incarnation: Incarnation of the issuer that issued it.
        sequence: Sequence number among the IDs of that incarnation.
        path: Numbers of the child calls, from the root request down.
    """

    issuer: str
    incarnation: int
    sequence: int
    path: tuple[int, ...] = ()

    def __str__(self) -> str:
        path = "".join(f"/{number}" for number in self.path)
        return f"{self.issuer}.{self.incarnation:x}.{self.sequence:x}{path}"


def parse(text: str) -> RequestId | sentinels.Absence:
    """Parses an ID; returns `MALFORMED` if it isn't valid."""
    if len(text) > _MAX_LENGTH:
        return MALFORMED
    match = _PATTERN.fullmatch(text)
    if match is None:
        return MALFORMED
    issuer, incarnation, sequence, path = match.groups()
    numbers = tuple(int(part) for part in path.split("/")[1:])
    return RequestId(issuer, int(incarnation, 16), int(sequence, 16), numbers)


def child(parent: str, number: int) -> str:
    """Returns the ID of a request's child call."""
    return f"{parent}/{number}"
