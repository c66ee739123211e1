"""Parses and validates the daemon's flags and environment variables."""

import argparse
import collections.abc
import ipaddress
import re
import typing
import urllib.parse

import savorybend
from savorybend.internal import errors
from savorybend.internal import experiments
from savorybend.internal import logs

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_PREFIX = "SAVORYBEND_"
_MIN_SECRET_CHARACTERS = 16


class Address(typing.NamedTuple):
    """An IP address, without brackets, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Settings(typing.NamedTuple):
    """A daemon's validated settings; `_SETTINGS` describes each field."""

    name: str
    data_centre: str
    service: str
    call_address: Address
    local_address: Address
    peer_address: Address
    admin_address: Address
    announced_call_address: Address | None
    announced_peer_address: Address | None
    announced_admin_address: Address | None
    platform_url: str
    seeds: tuple[Address, ...]
    fleet_secret: str
    admin_key: str
    body_limit_bytes: int
    header_limit_bytes: int
    drain_timeout_s: float
    journal_entries: int
    log_level: str
    experiment: experiments.Switches


class _Setting(typing.NamedTuple):
    field: str
    parse: collections.abc.Callable[[str], typing.Any]
    default: str | None
    help: str
    # A secret has no flag: all users of the VM can see a process's arguments.
    secret: bool = False

    @property
    def flag(self) -> str:
        return "--" + self.field.replace("_", "-")

    @property
    def variable(self) -> str:
        return _PREFIX + self.field.upper()


def parse_address(text: str) -> Address:
    """Parses `IP:PORT`; raises ValueError with the remedy."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        number = -1
    if not 0 < number < 65536:
        raise ValueError("give an IP number and a port, like 127.0.0.1:7000")
    return Address(host.strip("[]"), number)


def _parse_optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None


def _parse_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError("use a-z, 0-9 and '-', at most 63 characters")
    return text


def parse_url(text: str) -> str:
    """Returns an HTTP URL without trailing slashes.

    Raises:
        ValueError: The text is not an HTTP URL; the message has the remedy.
    """
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise ValueError("give a URL like http://127.0.0.1:7100")
    return text.rstrip("/")


def _parse_optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part) for part in text.split(",") if part)


def _parse_secret(text: str) -> str:
    if len(text) < _MIN_SECRET_CHARACTERS:
        raise ValueError(f"give at least {_MIN_SECRET_CHARACTERS} characters")
    return text


def _parse_level(text: str) -> str:
    if text not in logs.LEVELS:
        raise ValueError(f"give one of {', '.join(logs.LEVELS)}")
    return text


def _parse_count(text: str) -> int:
    number = int(text) if text.isdecimal() else 0
    if number <= 0:
        raise ValueError("give a whole number above 0")
    return number


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds <= 3600:
        raise ValueError("give seconds from 0 to 3600")
    return seconds


_SETTINGS = (
    _Setting("name", _parse_name, None, "name of this daemon, unique"),
    _Setting("data_centre", _parse_name, None, "data centre of this VM"),
    _Setting("service", _parse_name, None, "service of this VM"),
    _Setting("call_address", parse_address, None, "where callers call"),
    _Setting(
        "local_address",
        parse_address,
        None,
        "where this VM's backend server announces itself and calls out",
    ),
    _Setting("peer_address", parse_address, None, "where daemons connect"),
    _Setting(
        "admin_address", parse_address, None, "metrics, health and operators"
    ),
    _Setting(
        "announced_call_address",
        _parse_optional_address,
        "",
        "where callers reach call_address, if elsewhere",
    ),
    _Setting(
        "announced_peer_address",
        _parse_optional_address,
        "",
        "where daemons reach peer_address, if elsewhere",
    ),
    _Setting(
        "announced_admin_address",
        _parse_optional_address,
        "",
        "where admin_address is reached, if elsewhere",
    ),
    _Setting("platform_url", parse_url, None, "the platform's object API"),
    _Setting(
        "seeds",
        _parse_addresses,
        "",
        "admin addresses of other daemons, to start while the platform is out",
    ),
    _Setting(
        "fleet_secret", _parse_secret, None, "proves a daemon to others", True
    ),
    _Setting(
        "admin_key", _parse_secret, None, "what savorybendctl sends", True
    ),
    _Setting(
        "body_limit_bytes",
        _parse_count,
        str(256 * 1024 * 1024),
        "largest body of a request, in bytes",
    ),
    _Setting(
        "header_limit_bytes",
        _parse_count,
        "16384",
        "largest header of a request, in bytes",
    ),
    _Setting(
        "drain_timeout_s",
        _parse_seconds,
        "60",
        "how long a graceful shutdown waits for calls in flight, in seconds",
    ),
    _Setting(
        "journal_entries",
        _parse_count,
        "50000",
        "how many requests the journal keeps",
    ),
    _Setting("log_level", _parse_level, "info", "debug, info, warning, error"),
    _Setting(
        "experiment",
        experiments.parse,
        "",
        "mechanisms of overload control to turn off, for benchmarks only",
    ),
)


def create_parser() -> argparse.ArgumentParser:
    """Returns the parser of the daemon's command line."""
    parser = argparse.ArgumentParser(
        prog="savorybendd",
        description="The overload control daemon of one backend server's VM.",
        epilog="Secrets are read from the environment only: "
        + ", ".join(s.variable for s in _SETTINGS if s.secret),
    )
    parser.add_argument(
        "--version",
        action="version",
        version=f"savorybendd {savorybend.__version__}",
    )
    for setting in _SETTINGS:
        if setting.secret:
            continue
        parser.add_argument(
            setting.flag,
            metavar="VALUE",
            help=f"{setting.help} [{setting.variable}"
            + (f", {setting.default}]" if setting.default else "]"),
        )
    return parser


def load(
    arguments: list[str], environment: collections.abc.Mapping[str, str]
) -> Settings:
    """Returns the settings; a flag overrides its environment variable.

    Raises:
        errors.InvalidSettingError: A setting is missing or malformed.
    """
    flags = vars(create_parser().parse_args(arguments))
    values = {}
    for setting in _SETTINGS:
        text = flags.get(setting.field)
        if text is None:
            text = environment.get(setting.variable, setting.default)
        values[setting.field] = _parse_setting(setting, text)
    return Settings(**values)


def _parse_setting(setting: _Setting, text: str | None) -> typing.Any:
    named = setting.variable
    if not setting.secret:
        named = f"{setting.flag} ({setting.variable})"
    if text is None:
        raise errors.InvalidSettingError(
            f"{named} is missing: set it; it is the {setting.help}"
        )
    try:
        return setting.parse(text)
    except ValueError as error:
        shown = "its value" if setting.secret else repr(text)
        raise errors.InvalidSettingError(
            f"{named}: {shown} is invalid: {error}"
        ) from error
