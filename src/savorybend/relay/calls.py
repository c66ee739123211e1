"""Calls, routes and configuration, independent of the wire protocol."""

import typing

from savorybend.internal import sentinels

NO_ROUTE = sentinels.create("NO_ROUTE", "no route matches host and path")

# Client account of calls without an API key: child calls, which backend servers
# make while they run a request.
NO_ACCOUNT = ""


class Target(typing.NamedTuple):
    """One of the services that a route's calls are split among.

    Attributes:
        service: The service's name.
        weight: Weight relative to the route's other targets.
    """

    service: str
    weight: float


class Route(typing.NamedTuple):
    """A route from host and path prefix to services.

    Attributes:
        name: The route's name.
        host: Host of matching requests, without a port.
        prefix: Path prefix of matching requests.
        idempotent: Whether a call may run more than once.
        timeout_s: Longest time until the answer, in seconds.
        target_latency_s: Latency that answers should stay below, in seconds.
        priority: Priority of calls; 0 is the highest.
        max_attempts: How many backend servers may run one call.
        open_to_all: Whether callers need no API key.
        targets: The services, with their weights.
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
        name: The account's name.
        priority: Priority of its calls, compared before the route's; 0 is the
            highest, and None means the default.
        rate_per_s: Calls per second over the whole fleet; 0 for no limit.
        burst: Calls above the rate at once, over the whole fleet.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float


class CallerLimits(typing.NamedTuple):
    """Limits on callers' requests and connections.

    Attributes:
        header_bytes: Largest request head, in bytes.
        body_bytes: Largest request body, in bytes.
        header_timeout_s: Longest time to receive a head, in seconds.
        idle_timeout_s: Longest time a connection may be idle, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(typing.NamedTuple):
    """A decoded configuration.

    Attributes:
        version: Version number; it increases with each configuration.
        routes: Routes by host, the longest prefix first.
        accounts: Client accounts by name.
        keys: Names of client accounts by API key.
        max_connections: Connections that a backend server accepts, by service.
        limits: Limits on callers' requests.
        document: The encoded configuration, for other daemons.
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
        left_s: The caller's timeout, in seconds; None if it states none.
        key: The caller's API key; empty if there is none.
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
    """A call that is forwarded to a backend server.

    Attributes:
        request_id: The caller's ID for it.
        method: The HTTP method.
        target: Path and query.
        host: Host without a port.
        head: Header lines to pass on, including the lines that the ingress
            added.
        body: The whole body.
        service: The service that is to run it.
        route: The route's name.
        idempotent: Whether it may run more than once.
        priority: Its class, see `admission`; the lowest number goes first.
        client_account: Its client account; for a child call the account of
            its parent request, or `NO_ACCOUNT` if the parent isn't known.
        deadline_s: When its caller stops waiting, by this VM's clock, in
            seconds; earlier if this daemon shuts down before.
        target_latency_s: Latency that the answer should stay below, in seconds.
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
    """Returns the request ID of the parent of a child call.

    The ID of a child call is its parent's ID followed by a dot and a suffix.
    Returns an empty string if the ID has no dot.
    """
    return request_id.rpartition(".")[0]
