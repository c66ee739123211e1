"""A configuration compiled into lookup tables for the call path."""

import hashlib
import hmac
import typing

from savorybend.internal import documents
from savorybend.internal import sentinels

NO_ROUTE = sentinels.create("NO_ROUTE", "no route has this method and path")
NO_KEY = sentinels.create("NO_KEY", "no key in force fits")

# Calls to open routes are counted under this account.
OPEN_ACCOUNT = "open"


class Route(typing.NamedTuple):
    """A compiled route; see `documents.Route` for the fields and units.

    Attributes:
        retries: `documents.Service.retries` of the service.
    """

    name: str
    service: str
    priority: int
    idempotent: bool
    open: bool
    timeout_s: float
    refuse_when_older_than_s: float
    retries: int


class Account(typing.NamedTuple):
    """A client account's limits; see `documents.ClientAccount`."""

    name: str
    rate_per_s: float
    burst: float
    weight: float


class _Key(typing.NamedTuple):
    account: str
    salt: bytes
    digest: bytes


class Snapshot:
    """One version of the configuration, compiled for lookups."""

    def __init__(self, version: int, text: bytes, document: documents.Document):
        self._version = version
        self._text = text
        self._digest = hashlib.sha256(text).hexdigest()
        self._document = document
        self._accounts = _compile_accounts(document)
        self._keys = _compile_keys(document)
        self._routes = _compile_routes(document)
        self._verified: dict[str, str] = {}

    @property
    def version(self) -> int:
        """The platform's version of the configuration object."""
        return self._version

    @property
    def digest(self) -> str:
        """SHA-256 of the document, as hex."""
        return self._digest

    @property
    def text(self) -> bytes:
        """The document as it was submitted."""
        return self._text

    @property
    def document(self) -> documents.Document:
        """The validated document."""
        return self._document

    @property
    def accounts(self) -> dict[str, Account]:
        """Client accounts by name."""
        return self._accounts

    def route(self, method: str, path: str) -> Route | sentinels.Absence:
        """Returns the route of `method` with the longest prefix of `path`."""
        while path:
            found = self._routes.get((method, path))
            if found is not None:
                return found
            path = path.rpartition("/")[0]
        return self._routes.get((method, "/"), NO_ROUTE)

    def has_key(self, client_account: str, key_id: str) -> bool:
        """Returns whether a key belongs to a client account."""
        found = self._keys.get(key_id)
        return found is not None and found.account == client_account

    def account_of_key(self, key: str) -> str | sentinels.Absence:
        """Returns the name of the client account that `key` belongs to.

        Args:
            key: The key as the caller sends it: `KEY_ID.SECRET`.
        """
        known = self._verified.get(key)
        if known is not None:
            return known
        key_id, _, secret = key.partition(".")
        found = self._keys.get(key_id)
        if found is None or not secret:
            return NO_KEY
        digest = hash_secret(found.salt, secret)
        if not hmac.compare_digest(digest, found.digest):
            return NO_KEY
        # Only valid keys are cached, so that invalid ones can't grow the cache.
        self._verified[key] = found.account
        return found.account


def hash_secret(salt: bytes, secret: str) -> bytes:
    """Returns the SHA-256 of salt and secret.

    Secrets have 256 random bits, so a slow password hash would add latency to
    each call without adding security.
    """
    return hashlib.sha256(salt + secret.encode()).digest()


def _compile_accounts(document: documents.Document) -> dict[str, Account]:
    return {
        name: Account(
            name, account["rate_per_s"], account["burst"], account["weight"]
        )
        for name, account in document["client_accounts"].items()
    }


def _compile_keys(document: documents.Document) -> dict[str, _Key]:
    keys = {}
    for name, account in document["client_accounts"].items():
        for key_id, key in account["keys"].items():
            salt = bytes.fromhex(key["salt"])
            keys[key_id] = _Key(name, salt, bytes.fromhex(key["hash"]))
    return keys


def _compile_routes(
    document: documents.Document,
) -> dict[tuple[str, str], Route]:
    routes = {}
    for name, route in document["routes"].items():
        compiled = Route(
            name,
            route["service"],
            route["priority"],
            route["idempotent"],
            route["open"],
            route["timeout_s"],
            route["refuse_when_older_than_s"],
            document["services"][route["service"]]["retries"],
        )
        path = route["path"]
        prefix = path if path == "/" else path.rstrip("/")
        for method in route["methods"]:
            routes[(method, prefix)] = compiled
    return routes


def create_snapshot(version: int, text: bytes) -> Snapshot:
    """Returns the snapshot of a document.

    Raises:
        errors.InvalidConfigurationError: The document breaks a rule.
    """
    return Snapshot(version, text, documents.decode(text))
