"""Entry point of `savorybendd`, the daemon."""

import asyncio
import os
import sys

from savorybend.internal import assembly
from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def main() -> int:
    """Runs a daemon until SIGTERM; returns the exit code."""
    try:
        loaded = settings.load(sys.argv[1:], os.environ)
    except errors.InvalidSettingError as error:
        print(f"savorybendd: {error}", file=sys.stderr)
        return EXIT_USAGE
    logs.set_up(loaded.log_level, loaded.name)
    try:
        asyncio.run(assembly.run(loaded))
    except OSError as error:
        print(
            f"savorybendd: {error}: free the address or give another",
            file=sys.stderr,
        )
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
