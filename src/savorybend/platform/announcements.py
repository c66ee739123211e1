"""Decodes announcements of backend servers; the handler of their address."""

import collections.abc
import typing

import msgspec
import structlog

from savorybend.platform import names
from savorybend.relay import backend
from savorybend.relay import exchanges
from savorybend.relay import frames
from savorybend.relay import presence

_DRAINING = "draining"
_READY = "ready"
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404

_log = structlog.get_logger()


_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=presence.MAX_COUNT)]


class _Info(msgspec.Struct):
    service: str
    slots: _Count


class _Status(msgspec.Struct):
    state: str
    sequence: _Count
    cold: str = msgspec.field(name="coldRemaining", default="0ms")


class _Heartbeat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    born: _Count = 0


class _Leave(msgspec.Struct):
    born: _Count = 0


class Listener(typing.Protocol):
    """Receives announcements."""

    def on_announcement(
        self,
        announcement: backend.Announcement,
        acknowledge: collections.abc.Callable[[], None],
    ) -> None:
        """Handles an announcement; calls `acknowledge` once it is stored."""

    def on_withdrawal(
        self,
        instance: str,
        born_ms: int,
        acknowledge: collections.abc.Callable[[], None],
    ) -> None:
        """Handles a withdrawal; calls `acknowledge` once it is stored."""


class Announcements:
    """The HTTP handler that backend servers call."""

    def __init__(self, listener: Listener):
        self._listener = listener

    def handle(self, exchange: exchanges.Exchange) -> None:
        """Answers a request, at once or when the announcement is stored."""
        instance, action = _split(exchange.target)
        if not instance:
            exchange.reply(_NOT_FOUND, b"", b"")
            return
        try:
            if action == names.HEARTBEAT_PATH:
                announcement = _decode_announcement(instance, exchange.body)
                self._listener.on_announcement(
                    announcement, _acknowledger(exchange)
                )
                return
            born_ms = _born_ms(exchange.body)
        except (ValueError, *frames.DECODING_ERRORS) as error:
            _log.warning(
                "announcement_invalid", instance=instance, error=str(error)
            )
            exchange.reply(_BAD_REQUEST, b"", b"")
            return
        self._listener.on_withdrawal(instance, born_ms, _acknowledger(exchange))


def _split(target: bytes) -> tuple[str, bytes]:
    path = target.partition(b"?")[0]
    if not path.startswith(names.INSTANCES_PATH):
        return "", b""
    for action in (names.HEARTBEAT_PATH, names.DEREGISTER_PATH):
        if path.endswith(action):
            instance = path[len(names.INSTANCES_PATH) : -len(action)]
            return instance.decode("latin-1"), action
    return "", b""


def _decode_announcement(instance: str, body: bytes) -> backend.Announcement:
    found = msgspec.json.decode(body, type=_Heartbeat)
    if found.status.state not in (_READY, _DRAINING):
        raise ValueError(f"unknown state {found.status.state!r}")
    if found.info.slots < 1:
        raise ValueError(f"{found.info.slots} slots; expected at least 1")
    return backend.Announcement(
        instance=instance,
        service=found.info.service,
        address=found.address,
        slots=found.info.slots,
        draining=found.status.state == _DRAINING,
        born_ms=found.born,
        sequence=found.status.sequence,
        cold_s=names.parse_duration(found.status.cold),
    )


def _born_ms(body: bytes) -> int:
    return msgspec.json.decode(body, type=_Leave).born if body.strip() else 0


def _acknowledger(
    exchange: exchanges.Exchange,
) -> collections.abc.Callable[[], None]:
    def acknowledge() -> None:
        exchange.reply(_OK, b"Content-Type: application/json\r\n", b"{}")

    return acknowledge


def create_announcements(listener: Listener) -> Announcements:
    """Returns the handler for the announcement address."""
    return Announcements(listener)
