"""Decodes the store's answers; other writers' odd objects cost nothing else."""

import collections.abc
import typing

import msgspec
import structlog

from savorybend.internal import errors
from savorybend.platform import jsonparts
from savorybend.relay import store

# Daemons send revisions and eras to each other as integers of 64 bits.
_MAX_REVISION = (1 << 63) - 1
_NO_SPEC = msgspec.Raw(b"null")
# A decoder raises RecursionError at JSON that is nested too deep for the stack
# that is left.
_DECODING_ERRORS = (ValueError, KeyError, RecursionError)


_log = structlog.get_logger()

_Name = typing.Annotated[str, msgspec.Meta(min_length=1)]
_Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_REVISION)]


class _Metadata(msgspec.Struct):
    name: _Name
    revision: _Revision


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = _NO_SPEC


class Page(msgspec.Struct):
    """A part of a listing.

    Attributes:
        items: The objects, encoded.
        revision: The store's revision.
        more: Whether further pages follow.
    """

    items: list[msgspec.Raw]
    revision: _Revision = msgspec.field(name="storeRevision")
    more: bool = msgspec.field(name="hasMore", default=False)


class Event(msgspec.Struct):
    """A change of an object.

    Attributes:
        object: The object, encoded.
        deleted: Whether it was deleted.
    """

    object: msgspec.Raw
    deleted: bool = False


class Events(msgspec.Struct):
    """The answer to a watch.

    Attributes:
        events: The changes, in order.
        revision: The store's revision.
    """

    events: list[Event]
    revision: _Revision = msgspec.field(name="storeRevision")


def decode_page(body: bytes) -> Page:
    """Decodes a part of a listing.

    Raises:
        errors.PlatformUnavailableError: It can't be decoded.
    """
    return _decode(body, Page, _odd_page)


def decode_events(body: bytes) -> Events:
    """Decodes the answer to a watch.

    Raises:
        errors.PlatformUnavailableError: It can't be decoded.
    """
    return _decode(body, Events, _odd_events)


def decode_object(body: bytes) -> store.StoredObject:
    """Decodes an object; its value is as another writer may have left it.

    Raises:
        errors.PlatformUnavailableError: It can't be decoded.
    """
    found = _decode(body, _Object, _odd_object)
    return store.StoredObject(
        found.metadata.name, found.metadata.revision, bytes(found.spec)
    )


def _decode(
    body: bytes,
    kind: type,
    decode_odd: collections.abc.Callable[[bytes], typing.Any],
) -> typing.Any:
    """Decodes a text whole, or in parts if it can't be decoded whole."""
    try:
        try:
            return msgspec.json.decode(body, type=kind)
        except _DECODING_ERRORS:
            return decode_odd(body)
    except _DECODING_ERRORS as error:
        raise errors.PlatformUnavailableError(
            f"store's answer can't be decoded ({error}): the request is retried"
        ) from error


def _odd_page(body: bytes) -> Page:
    found = jsonparts.members(body)
    return Page(
        [msgspec.Raw(one) for one in jsonparts.elements(found["items"])],
        _field(found, "storeRevision", _Revision),
        _field(found, "hasMore", bool, b"false"),
    )


def _odd_events(body: bytes) -> Events:
    found = jsonparts.members(body)
    events = []
    for text in jsonparts.elements(found["events"]):
        event = jsonparts.members(text)
        deleted = _field(event, "deleted", bool, b"false")
        events.append(Event(msgspec.Raw(event.get("object", b"")), deleted))
    return Events(events, _field(found, "storeRevision", _Revision))


def _field(
    found: dict[str, bytes], name: str, kind: typing.Any, default: bytes = b""
) -> typing.Any:
    return msgspec.json.decode(found.get(name, default), type=kind)


def _odd_object(body: bytes) -> _Object:
    """Returns an object of which something else can't be decoded."""
    parts = jsonparts.members(body)
    metadata = jsonparts.members(parts.get("metadata", b""))
    return _Object(
        _Metadata(
            _field(metadata, "name", _Name),
            _field(metadata, "revision", _Revision),
        ),
        msgspec.Raw(parts.get("spec", bytes(_NO_SPEC))),
    )


def decode_objects(
    items: list[msgspec.Raw], kind: store.Kind
) -> collections.abc.Iterator[store.StoredObject]:
    """Yields the objects that can be decoded.

    Args:
        items: The objects, encoded.
        kind: Their kind, for the log.
    """
    for item in items:
        try:
            yield decode_object(bytes(item))
        except errors.PlatformUnavailableError as error:
            # Written by another writer; the other objects are valid.
            _log.warning("object_passed_over", kind=kind.name, error=str(error))


def last_name(items: list[msgspec.Raw], after: str) -> str:
    """Returns the last name on a page that begins after another name."""
    for item in reversed(items):
        try:
            metadata = jsonparts.members(bytes(item)).get("metadata", b"")
            name = _field(jsonparts.members(metadata), "name", _Name)
        except _DECODING_ERRORS:
            continue
        if name != after:
            return name
    raise errors.PlatformUnavailableError(
        f"no object on the page after {after!r} has a name: the list is read "
        "again"
    )
