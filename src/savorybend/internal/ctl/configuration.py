"""The configuration commands: check, diff, submit and show."""

import collections.abc
import difflib
import sys

from savorybend.internal import documents
from savorybend.internal import errors
from savorybend.internal import platform
from savorybend.internal import sentinels
from savorybend.internal.ctl import exits

PrintLine = collections.abc.Callable[[str], None]


def read(path: str) -> bytes:
    """Returns the text of a file, or of standard input for `-`."""
    if path == "-":
        return sys.stdin.buffer.read()
    with open(path, "rb") as file:
        return file.read()


def check(text: bytes, say: PrintLine) -> int:
    """Validates a document and prints its summary; returns the exit code.

    Raises:
        errors.InvalidConfigurationError: The document breaks a rule.
    """
    document = documents.decode(text)
    say(
        f"valid: {len(document['client_accounts'])} client accounts, "
        f"{len(document['routes'])} routes, "
        f"{len(document['services'])} services"
    )
    return exits.OK


async def show(store: platform.Platform, say: PrintLine) -> int:
    """Prints the platform's configuration, and its version to stderr."""
    found = await _current(store)
    if not found:
        print(f"savorybendctl: {found.reason}", file=sys.stderr)
        return exits.FAILED
    print(f"version {found.version}", file=sys.stderr)
    say(found.value)
    return exits.OK


async def diff(store: platform.Platform, text: bytes, say: PrintLine) -> int:
    """Prints the difference between a document and the configuration."""
    wanted = documents.encode(documents.decode(text)).decode()
    found = await _current(store)
    value = found.value if found else ""
    say(changes(value, wanted) or "no change")
    return exits.OK


async def submit(
    store: platform.Platform, text: bytes, base: int | None, say: PrintLine
) -> int:
    """Writes a document to the platform, with a version check.

    Args:
        store: The platform.
        text: The document.
        base: The version that the operator edited; None for the platform's
            current version.
        say: Prints a line.

    Returns:
        The exit code; `exits.CONFLICT` if another operator's version has
        replaced the base version.
    """
    wanted = documents.encode(documents.decode(text)).decode()
    found = await _current(store)
    version = found.version if found else platform.ABSENT
    before = found.value if found else ""
    if before == wanted:
        say(f"no change: version {version} is the same")
        return exits.OK
    if base is not None and base != version:
        return _lost_race(base, version, "", say)
    try:
        written = await store.put(
            platform.CONFIGURATION_KIND,
            platform.CONFIGURATION_NAME,
            wanted,
            version,
        )
    except errors.ConflictError:
        now = await _current(store)
        return _lost_race(
            version,
            now.version if now else platform.ABSENT,
            changes(before, now.value if now else ""),
            say,
        )
    except errors.PlatformUnavailableError:
        return await _settle(store, wanted, version, say)
    say(f"submitted: version {written}")
    return exits.OK


async def _settle(
    store: platform.Platform, wanted: str, version: int, say: PrintLine
) -> int:
    """Reads the object back to report whether a write took effect."""
    try:
        now = await _current(store)
    except errors.PlatformUnavailableError:
        say(
            "unknown: the platform's reply was lost and it can't be read "
            "back; submit the same document again when it is there"
        )
        return exits.UNREACHABLE
    if now and now.value == wanted:
        say(f"submitted: version {now.version} (reply lost, read back)")
        return exits.OK
    if (now.version if now else platform.ABSENT) == version:
        say("not submitted: the write did not take effect; submit again")
        return exits.UNREACHABLE
    say(
        f"unknown: version {now.version} of another operator is there now; "
        "it may have followed yours: look at it with 'config show'"
    )
    return exits.CONFLICT


def _lost_race(base: int, now: int, changed: str, say: PrintLine) -> int:
    say(
        f"not submitted: you started from version {base}, but another "
        f"operator's version {now} is there; take it in and submit again"
    )
    if changed:
        say(changed)
    return exits.CONFLICT


def changes(before: str, after: str) -> str:
    """Returns the lines that differ between two documents."""
    lines = difflib.unified_diff(
        before.splitlines(), after.splitlines(), "before", "after", lineterm=""
    )
    return "\n".join(lines)


async def _current(
    store: platform.Platform,
) -> platform.Object | sentinels.Absence:
    return await store.get(
        platform.CONFIGURATION_KIND, platform.CONFIGURATION_NAME
    )
