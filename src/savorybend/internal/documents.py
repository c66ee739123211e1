"""The configuration document: its schema, encoding and validation."""

import re
import typing

import msgspec

from savorybend.internal import errors

FORMAT = 1
# The platform stores values of up to 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_HEX = re.compile(r"[0-9a-f]{16,128}")
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


class Key(typing.TypedDict):
    """A client account's key, as a salted hash.

    Attributes:
        salt: Random bytes as hex.
        hash: SHA-256 of salt and secret, as hex.
    """

    salt: str
    hash: str


class ClientAccount(typing.TypedDict):
    """A client account's keys and limits.

    Attributes:
        keys: Its keys by key ID.
        rate_per_s: Calls per second over the whole fleet.
        burst: Calls at once above the rate, over the whole fleet.
        weight: Weight relative to the other accounts when capacity is short.
    """

    keys: dict[str, Key]
    rate_per_s: float
    burst: float
    weight: float


class Route(typing.TypedDict):
    """Routes calls by method and path to a service.

    Attributes:
        path: Path prefix that matches whole segments.
        methods: HTTP methods of the route.
        service: The service that serves the route.
        priority: 0 is shed last, 9 first.
        idempotent: Whether a call may be executed more than once.
        open: Whether callers without a key may use the route.
        timeout_s: Timeout of calls that specify none, in seconds.
        refuse_when_older_than_s: Age of the last confirmed configuration, in
            seconds, above which calls are refused; 0 never refuses.
    """

    path: str
    methods: list[str]
    service: str
    priority: int
    idempotent: bool
    open: bool
    timeout_s: float
    refuse_when_older_than_s: float


class Service(typing.TypedDict):
    """A service that backend servers provide.

    Attributes:
        retries: Maximum retries of a request that enters at this service,
            summed over all hops.
    """

    retries: int


class DataCentre(typing.TypedDict):
    """A data centre.

    Attributes:
        share: Share of each client account's rate, relative to the other data
            centres.
    """

    share: float


class Document(typing.TypedDict):
    """The whole configuration."""

    format: int
    client_accounts: dict[str, ClientAccount]
    services: dict[str, Service]
    routes: dict[str, Route]
    data_centres: dict[str, DataCentre]


_DECODER = msgspec.json.Decoder(Document)


def decode(text: bytes) -> Document:
    """Decodes and validates a JSON document.

    Raises:
        errors.InvalidConfigurationError: The text breaks a rule; the message
            names the path in the document and the remedy.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise errors.InvalidConfigurationError(
            "$",
            f"the document has {len(text)} bytes: the platform holds "
            f"{MAX_DOCUMENT_BYTES}; remove what is not needed",
        )
    try:
        document = _DECODER.decode(text)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(" - at `")
        raise errors.InvalidConfigurationError(
            path.rstrip("`") or "$", f"{problem}: give a value of that type"
        ) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.InvalidConfigurationError(
            "$", f"not JSON ({error}): print it with savorybend.configuration"
        ) from error
    check(document)
    return document


def encode(document: Document) -> bytes:
    """Returns the document as JSON; equal documents give equal bytes."""
    return msgspec.json.format(
        msgspec.json.encode(document, order="deterministic"), indent=1
    )


def check(document: Document) -> None:
    """Validates a document.

    Raises:
        errors.InvalidConfigurationError: The first rule that it breaks.
    """
    _require(
        document["format"] == FORMAT,
        "$.format",
        f"{document['format']} is not {FORMAT}: use this version's library",
    )
    _require(bool(document["data_centres"]), "$.data_centres", "add one")
    for name, centre in document["data_centres"].items():
        path = f"$.data_centres.{name}"
        _check_name(path, name)
        _require(centre["share"] >= 0, f"{path}.share", "give 0 or more")
    for name, service in document["services"].items():
        path = f"$.services.{name}"
        _check_name(path, name)
        _require(
            0 <= service["retries"] <= 100,
            f"{path}.retries",
            "give a number from 0 to 100",
        )
    for name, account in document["client_accounts"].items():
        _check_account(f"$.client_accounts.{name}", name, account)
    _check_key_ids(document)
    _check_routes(document)


def _check_account(path: str, name: str, account: ClientAccount) -> None:
    _check_name(path, name)
    for field in ("rate_per_s", "burst", "weight"):
        value = account[field]
        _require(
            0 < value < float("inf"),
            f"{path}.{field}",
            f"{value} is not above 0: give a finite number above 0",
        )
    for key_id, key in account["keys"].items():
        where = f"{path}.keys.{key_id}"
        _check_name(where, key_id)
        for field in ("salt", "hash"):
            _require(
                _HEX.fullmatch(key[field]) is not None,
                f"{where}.{field}",
                "not hex: print it with 'savorybendctl key create'",
            )


def _check_key_ids(document: Document) -> None:
    owners: dict[str, str] = {}
    for name, account in document["client_accounts"].items():
        for key_id in account["keys"]:
            first = owners.setdefault(key_id, name)
            _require(
                first == name,
                f"$.client_accounts.{name}.keys.{key_id}",
                f"{first!r} has a key of this ID too: give it another ID",
            )


def _check_routes(document: Document) -> None:
    taken: dict[tuple[str, str], str] = {}
    for name, route in document["routes"].items():
        path = f"$.routes.{name}"
        _check_name(path, name)
        _check_route(path, route, document)
        for method in route["methods"]:
            first = taken.setdefault((method, route["path"]), name)
            _require(
                first == name,
                f"{path}.path",
                f"route {first!r} has {method} of it too: change one",
            )


def _check_route(path: str, route: Route, document: Document) -> None:
    _require(
        route["path"].startswith("/") and "//" not in route["path"],
        f"{path}.path",
        f"{route['path']!r} is not a path: begin it with one slash",
    )
    _require(
        not route["path"].startswith("/savorybend"),
        f"{path}.path",
        "/savorybend is the daemon's own: choose another",
    )
    _require(bool(route["methods"]), f"{path}.methods", "name at least one")
    for index, method in enumerate(route["methods"]):
        _require(
            method in _METHODS,
            f"{path}.methods[{index}]",
            f"{method!r} is none of {', '.join(_METHODS)}",
        )
    _require(
        route["service"] in document["services"],
        f"{path}.service",
        f"no service {route['service']!r}: add it under services",
    )
    _require(
        0 <= route["priority"] <= 9,
        f"{path}.priority",
        "give 0 (shed last) to 9 (shed first)",
    )
    _require(
        0 < route["timeout_s"] <= 3600,
        f"{path}.timeout_s",
        "give seconds above 0 and at most 3600",
    )
    _require(
        route["refuse_when_older_than_s"] >= 0,
        f"{path}.refuse_when_older_than_s",
        "give 0 (never) or seconds",
    )


def _check_name(path: str, name: str) -> None:
    _require(
        _NAME.fullmatch(name) is not None,
        path,
        f"{name!r} is not a name: use a-z, 0-9 and '-', at most 63",
    )


def _require(holds: bool, path: str, problem: str) -> None:
    if not holds:
        raise errors.InvalidConfigurationError(path, problem)
