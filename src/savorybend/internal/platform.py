"""The platform's object API: versions, conditional updates and watches."""

import asyncio
import collections.abc
import typing

import aiohttp
import msgspec

from savorybend.internal import budget
from savorybend.internal import errors
from savorybend.internal import metrics
from savorybend.internal import sentinels
from savorybend.internal import timers

NO_OBJECT = sentinels.create("NO_OBJECT", "the platform has no such object")

# The version to expect of an object that must not exist yet.
ABSENT = 0

CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "current"
DAEMON_KIND = "daemons"

_TIMEOUT_S = 2.0
# How much longer than the platform was asked to wait a watch may take.
_WATCH_SLACK_S = 2.0


class Object(msgspec.Struct, frozen=True):
    """An object as the platform holds it.

    Attributes:
        name: Its name, unique in its kind.
        version: Rises with each change of any object on the platform.
        value: Text of at most a megabyte.
    """

    name: str
    version: int
    value: str


class Listing(msgspec.Struct, frozen=True):
    """The objects of a kind, or what changed among them.

    Attributes:
        version: The platform's version that the listing is of.
        objects: The objects, or those changed since a version.
        deleted: Names of those deleted since a version.
    """

    version: int
    objects: tuple[Object, ...]
    deleted: tuple[str, ...] = ()


class _Written(msgspec.Struct):
    version: int


class Platform:
    """A client of the platform."""

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        count: collections.abc.Callable[[str], None],
        allowance: budget.Budget,
    ):
        self._allowance = allowance
        self._url = url
        self._session = session
        self._count = count

    async def get(self, kind: str, name: str) -> Object | sentinels.Absence:
        """Returns an object, or `NO_OBJECT`.

        Raises:
            errors.PlatformUnavailableError: There was no usable answer.
        """
        status, body = await self._ask("get", "GET", f"{kind}/{name}")
        if status == 404:
            return NO_OBJECT
        _expect(status, "get", 200)
        return _decode(body, Object)

    async def put(self, kind: str, name: str, value: str, expected: int) -> int:
        """Writes an object if its version is `expected`; returns the new one.

        Args:
            kind: The object's kind.
            name: The object's name.
            value: What to write.
            expected: The version last read, or `ABSENT`.

        Raises:
            errors.ConflictError: The object has another version.
            errors.PlatformUnavailableError: There was no usable answer, so
                the write may or may not have happened: read back.
        """
        status, body = await self._ask(
            "put", "PUT", f"{kind}/{name}", value, _condition(expected)
        )
        if status == 412:
            raise errors.ConflictError(
                f"{kind}/{name} is no longer at version {expected}: read it "
                "again and decide anew"
            )
        _expect(status, "put", 200)
        return _decode(body, _Written).version

    async def delete(
        self, kind: str, name: str, expected: int | None = None
    ) -> None:
        """Deletes an object; one that is not there is no error.

        Args:
            kind: The object's kind.
            name: The object's name.
            expected: The version last read, or None to delete any.

        Raises:
            errors.ConflictError: The object has another version.
            errors.PlatformUnavailableError: There was no usable answer.
        """
        headers = None if expected is None else _condition(expected)
        status, _ = await self._ask(
            "delete", "DELETE", f"{kind}/{name}", headers=headers
        )
        if status == 412:
            raise errors.ConflictError(
                f"{kind}/{name} is no longer at version {expected}: read it "
                "again and decide anew"
            )
        _expect(status, "delete", 200, 404)

    async def list(self, kind: str) -> Listing:
        """Returns all objects of a kind.

        Raises:
            errors.PlatformUnavailableError: There was no usable answer.
        """
        status, body = await self._ask("list", "GET", kind)
        _expect(status, "list", 200)
        return _decode(body, Listing)

    async def watch(
        self,
        kind: str,
        after: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> Listing:
        """Returns what changed after a version, waiting if nothing has.

        Args:
            kind: The kind to watch.
            after: The version of the listing last seen.
            wait_s: How long the platform holds the call, in seconds.
            timeout_s: When to give the call up, in seconds; None for a
                little after `wait_s`.

        Raises:
            errors.ConflictError: The platform no longer knows what changed
                since `after`: list again.
            errors.PlatformUnavailableError: There was no usable answer.
        """
        status, body = await self._ask(
            "watch",
            "GET",
            f"{kind}?after={after}&wait_s={wait_s}",
            timeout_s=timeout_s or wait_s + _WATCH_SLACK_S,
        )
        if status == 410:
            raise errors.ConflictError(f"{kind}: version {after} is too old")
        _expect(status, "watch", 200)
        return _decode(body, Listing)

    async def _ask(
        self,
        operation: str,
        method: str,
        path: str,
        value: str | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> tuple[int, bytes]:
        delay_s = self._allowance.take()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        self._count(operation)
        try:
            async with self._session.request(
                method,
                f"{self._url}/v1/objects/{path}",
                data=None if value is None else value.encode(),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise errors.PlatformUnavailableError(
                f"the platform did not answer {operation} {path} "
                f"({type(error).__name__}): try again when it is back"
            ) from error


def _condition(expected: int) -> dict[str, str]:
    if expected == ABSENT:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected}"'}


def _expect(status: int, operation: str, *allowed: int) -> None:
    if status not in allowed:
        raise errors.PlatformUnavailableError(
            f"the platform answered {operation} with status {status}: try "
            "again when it is well"
        )


def _decode(body: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.PlatformUnavailableError(
            f"the platform's answer can't be read ({error}): check that the "
            "URL is the object API's"
        ) from error


def create_platform(url: str, session: aiohttp.ClientSession) -> Platform:
    """Returns a client whose calls are counted in the metrics."""
    allowance = budget.create_budget(timers.SystemClock())
    return Platform(url, session, metrics.count_platform_call, allowance)
