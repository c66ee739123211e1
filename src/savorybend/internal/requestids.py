"""Request IDs: issued by daemons, and telling whom to ask about a request.

An ID reads `ISSUER.INCARNATION.SEQUENCE`; the children of a request add
`/NUMBER` each.
"""

import re
import typing

from savorybend.internal import sentinels

MALFORMED = sentinels.create("MALFORMED", "that is not a request ID")

_LONGEST = 400
_PATTERN = re.compile(
    r"([a-z0-9][a-z0-9-]{0,62})\.([0-9a-f]{1,16})\.([0-9a-f]{1,16})"
    r"((?:/[0-9]{1,6})*)"
)


class RequestId(typing.NamedTuple):
    """A request ID, taken apart.

    Attributes:
        issuer: Name of the daemon that issued it.
        incarnation: The issuer's incarnation.
        sequence: Counts the issuer's IDs.
        path: Child numbers, from the entering request down.
    """

    issuer: str
    incarnation: int
    sequence: int
    path: tuple[int, ...] = ()

    def __str__(self) -> str:
        path = "".join(f"/{number}" for number in self.path)
        return f"{self.issuer}.{self.incarnation:x}.{self.sequence:x}{path}"


def parse(text: str) -> RequestId | sentinels.Absence:
    """Returns the parts of an ID, or `MALFORMED`."""
    if len(text) > _LONGEST:
        return MALFORMED
    found = _PATTERN.fullmatch(text)
    if found is None:
        return MALFORMED
    issuer, incarnation, sequence, path = found.groups()
    numbers = tuple(int(part) for part in path.split("/")[1:])
    return RequestId(issuer, int(incarnation, 16), int(sequence, 16), numbers)


def child(parent: str, number: int) -> str:
    """Returns the ID of a request's child."""
    return f"{parent}/{number}"
