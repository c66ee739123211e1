"""Exit codes of `savorybendctl`."""

OK = 0
FAILED = 1
# An argument or environment variable is missing or malformed.
USAGE = 2
# The configuration document breaks a rule.
INVALID = 3
# The object changed concurrently, or its daemon is still serving.
CONFLICT = 4
# The platform or a daemon did not answer.
UNREACHABLE = 5
