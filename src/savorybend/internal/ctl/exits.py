"""Exit codes of `savorybendctl`."""

OK = 0
FAILED = 1
USAGE = 2
INVALID = 3
CONFLICT = 4
UNREACHABLE = 5
