"""The rollout commands: show and await the configuration in force."""

import asyncio
import time
import typing

from savorybend.internal import errors
from savorybend.internal.ctl import exits
from savorybend.internal.ctl import fleet
from savorybend.internal.ctl import tables

_POLL_S = 0.2


class DaemonStatus(typing.NamedTuple):
    """A daemon's state and the configuration in force there.

    Attributes:
        daemon: The daemon's name.
        state: The daemon's state, or `not reached`.
        version: The version in force; 0 for none.
        age_s: Seconds since the version was last confirmed as the platform's
            newest; None if it never was.
    """

    daemon: str
    state: str
    version: int
    age_s: float | None


async def standings(source: fleet.Fleet) -> list[DaemonStatus]:
    """Returns every daemon's status."""
    found = []
    for daemon, status in await source.ask_all("status"):
        if isinstance(status, errors.PeerUnreachableError):
            found.append(DaemonStatus(daemon, "not reached", 0, None))
        else:
            found.append(
                DaemonStatus(
                    daemon,
                    status["state"],
                    status["configuration_version"],
                    status["configuration_age_s"],
                )
            )
    return found


async def show(source: fleet.Fleet, as_json: bool) -> str:
    """Returns a table of every daemon's status."""
    rows = [standing._asdict() for standing in await standings(source)]
    return tables.render(rows, as_json)


async def wait(
    source: fleet.Fleet, version: int, wait_s: float
) -> tuple[int, str]:
    """Waits until a version is in force at every daemon.

    Args:
        source: The daemons.
        version: The lowest version to wait for.
        wait_s: Timeout in seconds.

    Returns:
        The exit code and the message to print.
    """
    end_s = time.monotonic() + wait_s
    while True:
        late = [s for s in await standings(source) if s.version < version]
        if not late:
            return exits.OK, f"in force everywhere: version {version}"
        if time.monotonic() >= end_s:
            names = ", ".join(f"{s.daemon} ({s.state})" for s in late)
            return exits.FAILED, f"version {version} not yet at: {names}"
        await asyncio.sleep(_POLL_S)
