"""Where a configuration is in force."""

import asyncio
import time
import typing

from savorybend.internal import errors
from savorybend.internal.ctl import exits
from savorybend.internal.ctl import fleet
from savorybend.internal.ctl import tables

_POLL_S = 0.2


class DaemonStatus(typing.NamedTuple):
    """What one daemon has in force.

    Attributes:
        daemon: Its name.
        state: Its state, or `not reached`.
        version: The version in force; 0 for none.
        age_s: Seconds since that was last confirmed as the newest, or None
            where nobody in touch with the platform was heard.
    """

    daemon: str
    state: str
    version: int
    age_s: float | None


async def standings(source: fleet.Fleet) -> list[DaemonStatus]:
    """Returns what each daemon has in force."""
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
    """Returns a table of what each daemon has in force."""
    rows = [standing._asdict() for standing in await standings(source)]
    return tables.render(rows, as_json)


async def wait(
    source: fleet.Fleet, version: int, wait_s: float
) -> tuple[int, str]:
    """Waits until a version is in force at every daemon.

    Args:
        source: The daemons.
        version: The version, or a higher one, to wait for.
        wait_s: How long to wait, in seconds.

    Returns:
        An exit code and what to say.
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
