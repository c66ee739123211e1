"""Decodes the operator's configuration into this system's types."""

import collections
import re
import typing

import msgspec

from savorybend.internal import errors
from savorybend.platform import names
from savorybend.relay import calls
from savorybend.relay import frames

_IDEMPOTENT = "idempotent"
_HEX_BASE = 16
# Daemons send versions to each other as integers of 64 bits.
_VERSION = re.compile(r"[0-9a-fA-F]{1,16}")

_Int = typing.Annotated[int, msgspec.Meta(ge=-(1 << 63), le=(1 << 63) - 1)]


class _Weighted(msgspec.Struct):
    service: str
    weight: float


class _Metadata(msgspec.Struct):
    name: str = ""


class _Route(msgspec.Struct):
    hostname: str
    path_prefix: str = msgspec.field(name="pathPrefix")
    type: str
    timeout: str
    target_latency: str = msgspec.field(name="targetLatency", default="1000ms")
    priority: _Int = 0
    service: str = ""
    targets: list[_Weighted] = msgspec.field(
        name="weightedTargets", default_factory=list
    )
    attempts: _Int = msgspec.field(name="maxAttempts", default=1)
    public: bool = False


class _Service(msgspec.Struct):
    connections: _Int = msgspec.field(name="maxConnections", default=0)


class _Tenant(msgspec.Struct):
    keys: list[str] = msgspec.field(name="apiKeys", default_factory=list)
    priority: _Int | None = None
    rate: float = msgspec.field(name="ratePerS", default=0.0)
    burst: float = 0.0


class _Limits(msgspec.Struct):
    header_bytes: _Int = msgspec.field(name="maxHeaderBytes")
    body_bytes: _Int = msgspec.field(name="maxBodyBytes")
    header_timeout: str = msgspec.field(name="headerTimeout")
    idle_timeout: str = msgspec.field(name="idleTimeout")


class _Resource(msgspec.Struct):
    type: str = msgspec.field(name="resourceType")
    spec: msgspec.Raw
    metadata: _Metadata = msgspec.field(default_factory=_Metadata)


class _Document(msgspec.Struct):
    version: str
    resources: list[_Resource]


def decode(document: bytes) -> calls.Configuration:
    """Returns a configuration.

    Raises:
        errors.InvalidConfigurationError: The document can't be decoded.
    """
    try:
        return _decode(document)
    except (ValueError, *frames.DECODING_ERRORS) as error:
        raise errors.InvalidConfigurationError(
            "$", f"{error}: submit a configuration that the store validates"
        ) from error


def _decode(document: bytes) -> calls.Configuration:
    found = msgspec.json.decode(document, type=_Document)
    routes: dict[str, list[calls.Route]] = collections.defaultdict(list)
    accounts: dict[str, calls.ClientAccount] = {}
    keys: dict[str, str] = {}
    connections: dict[str, int] = {}
    limits = calls.CallerLimits()
    for resource in found.resources:
        name = resource.metadata.name
        match resource.type:
            case "routes":
                route = _route(name, _spec(resource, _Route))
                routes[route.host].append(route)
            case "services":
                service = _spec(resource, _Service)
                connections[name] = service.connections
            case "tenants":
                tenant = _spec(resource, _Tenant)
                accounts[name] = _account(name, tenant)
                keys.update(dict.fromkeys(tenant.keys, name))
            case "limits":
                limits = _limits(_spec(resource, _Limits))
    return calls.Configuration(
        version=_version(found.version),
        routes={host: _longest_first(some) for host, some in routes.items()},
        accounts=accounts,
        keys=keys,
        max_connections=connections,
        limits=limits,
        document=bytes(document),
    )


def _version(text: str) -> int:
    if not _VERSION.fullmatch(text):
        raise ValueError("version isn't of up to 16 hexadecimal digits")
    return int(text, _HEX_BASE)


def _spec(resource: _Resource, kind: type) -> typing.Any:
    return msgspec.json.decode(resource.spec, type=kind)


def _longest_first(routes: list[calls.Route]) -> tuple[calls.Route, ...]:
    return tuple(sorted(routes, key=lambda route: -len(route.prefix)))


def _route(name: str, found: _Route) -> calls.Route:
    targets = tuple(
        calls.Target(one.service, one.weight) for one in found.targets
    )
    return calls.Route(
        name=name,
        host=found.hostname,
        prefix=found.path_prefix,
        # Large uploads must be treated as non-idempotent.
        idempotent=found.type == _IDEMPOTENT,
        timeout_s=names.parse_duration(found.timeout),
        target_latency_s=names.parse_duration(found.target_latency),
        priority=found.priority,
        max_attempts=found.attempts,
        open_to_all=found.public,
        targets=targets or (calls.Target(found.service, 1.0),),
    )


def _account(name: str, found: _Tenant) -> calls.ClientAccount:
    return calls.ClientAccount(name, found.priority, found.rate, found.burst)


def _limits(found: _Limits) -> calls.CallerLimits:
    return calls.CallerLimits(
        header_bytes=found.header_bytes,
        body_bytes=found.body_bytes,
        header_timeout_s=names.parse_duration(found.header_timeout),
        idle_timeout_s=names.parse_duration(found.idle_timeout),
    )
