"""Decodes the platform's settings file into this system's settings."""

import math
import tomllib
import typing

import msgspec

from savorybend.internal import errors
from savorybend.platform import names
from savorybend.relay import settings

_BYTES_PER_MB = 1 << 20
_MAX_PORT = 65_535
_Port = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]


class _Listen(msgspec.Struct):
    outbound: str
    ready: str
    control: str


class _Limits(msgspec.Struct):
    descriptors: int = msgspec.field(name="maxFds", default=4100)
    memory_mb: int = msgspec.field(name="memoryMb", default=256)


class _Store(msgspec.Struct):
    address: str
    writes_per_s: float = msgspec.field(name="writesPerS", default=400)
    reads_per_s: float = msgspec.field(name="readsPerS", default=2000)


class _File(msgspec.Struct):
    node_name: str = msgspec.field(name="nodeName")
    ip: str
    zone: str
    ports: list[_Port] = msgspec.field(name="internalPortRange")
    heartbeat: str
    bounds: list[str]
    app_address: str = msgspec.field(name="appAddr")
    service: str
    listen: _Listen = msgspec.field(name="listenAddrs")
    platform: _Store
    limits: _Limits = msgspec.field(default_factory=_Limits)


def load(path: str) -> settings.Settings:
    """Returns the settings in a file.

    Raises:
        errors.InvalidSettingError: The file can't be read, or a field is
            missing or invalid.
    """
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
        return decode(text)
    except (OSError, UnicodeError) as error:
        raise errors.InvalidSettingError(
            f"settings file {path!r} can't be read ({error}): name one in "
            f"{names.SETTINGS_VARIABLE}"
        ) from error


def decode(text: str) -> settings.Settings:
    """Returns the settings in a file's text.

    Raises:
        errors.InvalidSettingError: A field is missing or invalid.
    """
    try:
        found = msgspec.convert(tomllib.loads(text), _File)
        bounds = _bounds(found.bounds)
        return settings.Settings(
            name=found.node_name,
            host=found.ip,
            data_centre=found.zone,
            max_descriptors=found.limits.descriptors,
            max_memory_bytes=found.limits.memory_mb * _BYTES_PER_MB,
            service=found.service,
            peer_port=found.ports[0],
            call_address=_address(found.listen.outbound),
            ready_address=_address(found.listen.ready),
            announcement_address=_address(found.listen.control),
            backend_server_address=found.app_address,
            announcement_interval_s=names.parse_duration(found.heartbeat),
            store_address=_address(found.platform.address),
            grace_s=_time(bounds, "grace", 6.0),
            retry_ratio=_number(bounds, "retryBudgetRatio", 0.2),
            retry_slack=_number(bounds, "budgetSlack", 40.0),
            retry_window_s=_time(bounds, "budgetWindow", 10.0),
        )
    except (ValueError, IndexError, RecursionError) as error:
        raise errors.InvalidSettingError(
            f"settings: {error}: correct the field in the settings file"
        ) from error


def _bounds(entries: list[str]) -> dict[str, str]:
    found = {}
    for entry in entries:
        name, _, value = entry.partition("=")
        found[name] = value
    return found


def _time(bounds: dict[str, str], name: str, default_s: float) -> float:
    return names.parse_duration(bounds[name]) if name in bounds else default_s


def _number(bounds: dict[str, str], name: str, default: float) -> float:
    number = float(bounds[name]) if name in bounds else default
    if not math.isfinite(number):
        raise ValueError(f"{name} is {number}, which isn't finite")
    return number


def _address(text: typing.Any) -> settings.Address:
    host, _, port = text.rpartition(":")
    number = int(port)
    if not 0 <= number <= _MAX_PORT:
        raise ValueError(f"{text!r} has no port from 0 to {_MAX_PORT}")
    return settings.Address(host, number)
