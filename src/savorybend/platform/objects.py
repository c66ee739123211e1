"""Client of the platform's store; implements `relay.store.Store`."""

import asyncio
import collections.abc
import re
import typing
import urllib.parse

import msgspec
import structlog

from savorybend.internal import errors
from savorybend.internal import sentinels
from savorybend.platform import names
from savorybend.platform import objecttexts
from savorybend.relay import bytebudget
from savorybend.relay import http1
from savorybend.relay import responselimits
from savorybend.relay import responseparser
from savorybend.relay import settings
from savorybend.relay import store
from savorybend.relay import streams
from savorybend.relay import traffic
from savorybend.relay import upstream

_TIMEOUT_S = 1.5
_WATCH_GRACE_S = 1.0
_MAX_PAGES = 10_000
_NO_ERA = 0
_ERA = re.compile(rb"[0-9]{1,18}")

_GET = b"GET"
_POST = b"POST"
_PUT = b"PUT"
_DELETE = b"DELETE"

_KINDS = {
    store.CONFIGURATION: names.CONFIGURATION_KIND,
    store.DAEMONS: names.DAEMONS_KIND,
}

_log = structlog.get_logger()


class _Answer(typing.NamedTuple):
    status: int
    body: bytes
    era: int


class Client:
    """Client of the store.

    Each request has a connection of its own: nothing else ties a response to
    its request, and the store may write one late or twice.
    """

    def __init__(
        self,
        address: settings.Address,
        counts: traffic.Traffic,
        budget: bytebudget.Budget,
    ):
        self._address = address
        self._traffic = counts
        self._era = _NO_ERA
        self._limits = responselimits.Limits(
            body_bytes=budget.limit_bytes(bytebudget.Use.STORE)
        )
        self._budget = budget

    @property
    def calls(self) -> collections.abc.Mapping[tuple[str, str], int]:
        """Calls so far by operation and kind."""
        return self._traffic.store_calls

    @property
    def era(self) -> int:
        """The newest era that the store has told; 0 for none."""
        return self._era

    async def get(
        self, kind: store.Kind, name: str
    ) -> store.StoredObject | sentinels.Absence:
        """Returns an object, or `NO_OBJECT`."""
        self._traffic.count_store_call("get", kind.name)
        answer = await self._request(_GET, _path(kind, name))
        if answer.status == 404:
            return store.NO_OBJECT
        _check_status(answer, 200)
        return objecttexts.decode_object(answer.body)

    async def list(
        self, kind: store.Kind, stale: bool = False
    ) -> store.Listing:
        """Returns all objects of a kind, perhaps as they were seconds ago."""
        operation = "list-stale" if stale else "list"
        found: list[store.StoredObject] = []
        revision: int | None = None
        era: int | None = None
        after = ""
        for _ in range(_MAX_PAGES):
            query = {"after": after} if after else {}
            if stale:
                query["staleOk"] = "1"
            self._traffic.count_store_call(operation, kind.name)
            answer = await self._request(_GET, _path(kind), query)
            _check_status(answer, 200)
            if era not in (None, answer.era):
                raise errors.PlatformUnavailableError(
                    f"pages of a list are of eras {era} and {answer.era}: the "
                    "list is read again"
                )
            era = answer.era
            page = objecttexts.decode_page(answer.body)
            # Changes made while pages are read are returned by the watch,
            # which starts at the revision of the first page.
            revision = page.revision if revision is None else revision
            found.extend(objecttexts.decode_objects(page.items, kind))
            if not page.more or not page.items:
                break
            after = objecttexts.last_name(page.items, after)
        return store.Listing(revision or 0, tuple(found), era=era or _NO_ERA)

    async def watch(
        self, kind: store.Kind, after: int, wait_s: float, era: int = 0
    ) -> store.Listing:
        """Returns the changes after a revision, waiting for the first one."""
        wait_ms = int(wait_s * names.MILLISECONDS_PER_S)
        query = {"watch": str(after), "waitMs": str(wait_ms)}
        self._traffic.count_store_call("watch", kind.name)
        answer = await self._request(
            _GET, _path(kind), query, timeout_s=wait_s + _WATCH_GRACE_S
        )
        if answer.status == 410:
            raise store.HistoryGoneError(
                f"{kind.name}: revision {after} is too old: list again"
            )
        _check_status(answer, 200)
        if era not in (_NO_ERA, answer.era):
            raise store.HistoryGoneError(
                f"{kind.name}: revision {after} is of era {era}, the store's "
                f"is {answer.era}: list again"
            )
        events = objecttexts.decode_events(answer.body)
        changed: dict[str, store.StoredObject] = {}
        deleted: dict[str, None] = {}
        for event in events.events:
            for found in objecttexts.decode_objects([event.object], kind):
                if event.deleted:
                    changed.pop(found.name, None)
                    deleted[found.name] = None
                else:
                    deleted.pop(found.name, None)
                    changed[found.name] = found
        return store.Listing(
            events.revision,
            tuple(changed.values()),
            tuple(deleted),
            after,
            answer.era,
        )

    async def create(
        self, kind: store.Kind, name: str, value: bytes
    ) -> store.StoredObject:
        """Creates an object."""
        body = b'{"metadata":{"name":%s},"spec":%s}' % (
            msgspec.json.encode(name),
            value,
        )
        self._traffic.count_store_call("create", kind.name)
        answer = await self._request(_POST, _path(kind), body=body)
        return self._written(answer, kind, name)

    async def replace(
        self, kind: store.Kind, name: str, value: bytes, expected: int
    ) -> store.StoredObject:
        """Replaces an object that has the revision `expected`."""
        body = b'{"metadata":{"name":%s,"revision":%d},"spec":%s}' % (
            msgspec.json.encode(name),
            expected,
            value,
        )
        self._traffic.count_store_call("replace", kind.name)
        answer = await self._request(_PUT, _path(kind, name), body=body)
        return self._written(answer, kind, name)

    async def delete(self, kind: store.Kind, name: str, expected: int) -> None:
        """Deletes an object that has the revision `expected`."""
        self._traffic.count_store_call("delete", kind.name)
        answer = await self._request(
            _DELETE, _path(kind, name), {"revision": str(expected)}
        )
        if answer.status == 409:
            raise _conflict(kind, name)
        _check_status(answer, 200, 204, 404)

    def _written(
        self, answer: _Answer, kind: store.Kind, name: str
    ) -> store.StoredObject:
        if answer.status in (404, 409):
            raise _conflict(kind, name)
        _check_status(answer, 200, 201)
        return objecttexts.decode_object(answer.body)

    async def _request(
        self,
        method: bytes,
        path: str,
        query: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = _TIMEOUT_S,
    ) -> _Answer:
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        future = asyncio.get_running_loop().create_future()
        connection: upstream.ServerConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                connection.send(
                    self._encode_request(method, target, body),
                    upstream.PendingRequest(
                        lambda headers: upstream.Match.OWN, _resolver(future)
                    ),
                )
                found = await future
        except (OSError, TimeoutError) as error:
            if connection is not None:
                connection.abort()
            raise errors.PlatformUnavailableError(
                f"{method.decode()} {path}: {error!r}: the store is down or "
                "unreachable; the request is retried"
            ) from error
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            raise
        if isinstance(found, upstream.NoResponse):
            raise errors.PlatformUnavailableError(
                f"{method.decode()} {path}: {found.reason}: the operation "
                "may have been executed; the request is retried"
            )
        return _Answer(found.status, found.body, self._note_era(found))

    def _note_era(self, response: responseparser.Response) -> int:
        """Returns the era of a response; raises if it is an older one."""
        era = _parse_era(response.headers)
        if era is None:
            return self._era
        if era < self._era:
            raise errors.PlatformUnavailableError(
                f"store answered of era {era} after {self._era}: the request "
                "is retried"
            )
        if era > self._era:
            if self._era != _NO_ERA:
                _log.warning("store_era_changed", era=era, before=self._era)
            self._era = era
        return era

    def _encode_request(self, method: bytes, target: str, body: bytes) -> bytes:
        return (
            b"%s %s HTTP/1.1\r\nHost: %s:%d\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
            % (
                method,
                target.encode(),
                self._address.host.encode(),
                self._address.port,
                len(body),
                body,
            )
        )

    async def _connect(self) -> upstream.ServerConnection:
        loop = asyncio.get_running_loop()
        # Also for a watch, which may then wait much longer for its response.
        async with asyncio.timeout(_TIMEOUT_S):
            transport, connection = await loop.create_connection(
                lambda: upstream.ServerConnection(
                    lambda answered: answered.close(),
                    lambda ended: None,
                    self._limits,
                    self._budget,
                    use=bytebudget.Use.STORE,
                ),
                *self._address,
            )
        streams.keep_alive(transport.get_extra_info("socket"))
        return connection


def _parse_era(headers: http1.Headers) -> int | None:
    """Returns the era that a response tells; None without a valid one."""
    for name, value in headers:
        if name == names.STORE_ERA and _ERA.fullmatch(value):
            return int(value)
    return None


def _resolver(
    future: asyncio.Future,
) -> collections.abc.Callable[[upstream.Result], None]:
    def resolve(result: upstream.Result) -> None:
        if not future.done():
            future.set_result(result)

    return resolve


def _path(kind: store.Kind, name: str = "") -> str:
    path = f"/objects/{_KINDS[kind]}"
    return f"{path}/{urllib.parse.quote(name, safe='')}" if name else path


def _conflict(kind: store.Kind, name: str) -> errors.ConflictError:
    return errors.ConflictError(
        f"{kind.name}/{name} isn't in the expected state: read it again"
    )


def _check_status(answer: _Answer, *statuses: int) -> None:
    if answer.status not in statuses:
        raise errors.PlatformUnavailableError(
            f"store answered {answer.status}: the request is retried"
        )


def create_client(
    address: settings.Address,
    counts: traffic.Traffic,
    budget: bytebudget.Budget,
) -> Client:
    """Returns a client for the store at an address.

    Args:
        address: The store's address.
        counts: Counts the calls.
        budget: Room for the bodies of responses.
    """
    return Client(address, counts, budget)
