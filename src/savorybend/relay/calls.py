"""What a call, a route and an answer are, whatever spoke them on the wire."""

import typing

from savorybend.internal import sentinels

NO_ROUTE = sentinels.create("NO_ROUTE", "no route matches host and path")

# Calls that a backend server makes while it works on a request carry no key,
# so they belong to no client account.
NO_ACCOUNT = ""


class Target(typing.NamedTuple):
    """One of the services that a route's calls are split among.

    Attributes:
        service: The service.
        weight: Its part, against the others'.
    """

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where calls go, and what may be done with them.

    Attributes:
        name: The route's name.
        host: Host that callers name, without a port.
        prefix: What the path begins with.
        idempotent: Whether a call may run more than once.
        timeout_s: How long the operator lets a call wait, in seconds.
        target_latency_s: Within what an answer is worth most, in seconds.
        priority: 0 goes first.
        max_attempts: How many backend servers may run one call.
        open_to_all: Whether callers need no key.
        targets: The services.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    open_to_all: bool
    targets: tuple[Target, ...]


class ClientAccount(typing.NamedTuple):
    """A client account.

    Attributes:
        name: Its name.
        priority: Goes before the route's, unless None.
        rate_per_s: Calls a second over the whole fleet; 0 for no limit.
        burst: Calls at once above the rate, over the whole fleet.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float


class CallerLimits(typing.NamedTuple):
    """What a caller may send.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        header_timeout_s: How long a head may take, in seconds.
        idle_timeout_s: How long a connection may be unused, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(typing.NamedTuple):
    """A configuration in force.

    Attributes:
        version: Rises with each configuration.
        routes: By host, the longest prefix first.
        accounts: By name.
        keys: The client account of each key.
        max_connections: By service, what a backend server accepts.
        limits: What callers may send.
        document: The bytes that it was decoded from, for other daemons.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    accounts: dict[str, ClientAccount]
    keys: dict[str, str]
    max_connections: dict[str, int]
    limits: CallerLimits
    document: bytes

    def find(self, host: str, path: str) -> Route | sentinels.Absence:
        """Returns the route with the longest prefix, or `NO_ROUTE`."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return NO_ROUTE


class Incoming(typing.NamedTuple):
    """A request as its caller sent it.

    Attributes:
        request_id: The caller's ID for it; empty if there is none.
        method: The HTTP method.
        target: Path and query, as sent.
        host: Host without a port.
        left_s: How long the caller waits, in seconds; None if it doesn't say.
        key: The caller's key; empty if there is none.
        head: Header lines to pass on, each with its line end.
        body: The whole body.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    left_s: float | None
    key: str
    head: bytes
    body: bytes


class Call:
    """A call on its way.

    Attributes:
        request_id: The caller's ID for it.
        method: The HTTP method.
        target: Path and query.
        host: Host without a port.
        head: Header lines to pass on, with what this system adds.
        body: The whole body.
        service: The service that is to run it.
        route: The route's name.
        idempotent: Whether it may run more than once.
        priority: Its class, see `pressure`; the lowest number goes first.
        client_account: Whose it is; for a child call, whose it was made for,
            or `NO_ACCOUNT` where that isn't known.
        deadline_s: When its caller stops waiting, on this VM's clock.
        target_latency_s: Within what an answer is worth most, in seconds.
    """

    __slots__ = (
        "request_id",
        "method",
        "target",
        "host",
        "head",
        "body",
        "service",
        "route",
        "idempotent",
        "priority",
        "client_account",
        "deadline_s",
        "target_latency_s",
    )


def parent_id(request_id: str) -> str:
    """Returns the ID of the request that a call may have been made for.

    Backend servers name the calls that they make after the request that they
    work on, with a dot between; empty where there is none.
    """
    return request_id.rpartition(".")[0]
