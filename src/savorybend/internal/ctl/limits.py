"""The limit commands: show account states, reclaim a lost VM's parts."""

import collections.abc

import msgspec

from savorybend.internal import errors
from savorybend.internal import ledger
from savorybend.internal import ledgersync
from savorybend.internal import platform
from savorybend.internal.ctl import exits
from savorybend.internal.ctl import fleet
from savorybend.internal.ctl import tables

PrintLine = collections.abc.Callable[[str], None]


async def show(source: fleet.Fleet, as_json: bool) -> str:
    """Returns a table of each client account's limit state at each daemon."""
    rows = []
    for daemon, states in await source.ask_all("limits"):
        if isinstance(states, list):
            rows += [{"daemon": daemon, **state} for state in states]
    return tables.render(rows, as_json)


async def reclaim(
    source: fleet.Fleet,
    store: platform.Platform,
    data_centre: str,
    name: str,
    say: PrintLine,
) -> int:
    """Releases the parts owned by a VM that has permanently terminated.

    Only an operator can distinguish a terminated VM from a partitioned one
    that still lends from its parts.

    Args:
        source: The daemons.
        store: The platform.
        data_centre: The VM's data centre.
        name: Its daemon's name.
        say: Prints a line.

    Returns:
        The exit code.
    """
    if await _is_serving(source, name):
        say(
            f"refused: {name} is known as serving; end its VM first, or wait "
            "until 'daemons' no longer shows it"
        )
        return exits.CONFLICT
    found = await store.get(ledgersync.LIMITS_KIND, data_centre)
    if not found:
        say(f"no parts: {data_centre!r} has no ledger; see 'daemons'")
        return exits.FAILED
    current = msgspec.json.decode(found.value, type=ledger.Ledger)
    count = len(current.owned_by(name))
    if not count:
        say(f"no parts: {name} owns none in {data_centre}")
        return exits.OK
    value = msgspec.json.encode(current.without(name)).decode()
    try:
        await store.put(
            ledgersync.LIMITS_KIND, data_centre, value, found.version
        )
    except errors.ConflictError:
        say("not reclaimed: the parts changed hands just now; run it again")
        return exits.CONFLICT
    except errors.PlatformUnavailableError:
        say("unknown: the platform gave no answer; run it again")
        return exits.UNREACHABLE
    say(f"reclaimed: {count} parts; others own them within a minute")
    return exits.OK


async def _is_serving(source: fleet.Fleet, name: str) -> bool:
    for record in await source.ask("daemons"):
        if record["name"] == name:
            try:
                await source.ask("status", record["admin_address"])
            except errors.PeerUnreachableError:
                return False
            return True
    return False
