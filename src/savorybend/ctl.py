"""Entry point of `savorybendctl`, the operators' command line."""

import sys

from savorybend.internal.ctl import commands


def main() -> int:
    """Runs one command; returns the exit code."""
    return commands.run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
