"""Names and values of the HTTP headers that savorybend reads and writes."""

import math

from savorybend.internal import errors

AUTHORIZATION = "Authorization"
TIMEOUT = "Savorybend-Timeout"
REQUEST_ID = "Savorybend-Request-Id"
HANDLE = "Savorybend-Handle"
OUTCOME = "Savorybend-Outcome"
REASON = "Savorybend-Reason"
DECIDED_BY = "Savorybend-Decided-By"
TRIED_BY = "Savorybend-Tried-By"
RETRIES = "Savorybend-Retries"
CLIENT_ACCOUNT = "Savorybend-Client-Account"
PRIORITY = "Savorybend-Priority"
RETRY_AFTER = "Retry-After"

# Interactive calls never take longer, and the bound keeps a mistyped timeout
# from occupying a slot for days.
MAX_TIMEOUT_S = 3600.0

_BEARER = "bearer "

# Headers that apply to one connection or to savorybend itself. They are not
# forwarded, so that a backend server never sees the key.
_HOP_BY_HOP = frozenset(
    {
        "authorization",
        "proxy-authorization",
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)
_OWN_PREFIX = "savorybend-"

Pairs = list[tuple[str, str]]


def select_forwarded(items) -> Pairs:
    """Returns the (name, value) pairs to forward to the next hop."""
    kept = []
    for name, value in items:
        lowered = name.lower()
        if lowered in _HOP_BY_HOP or lowered.startswith(_OWN_PREFIX):
            continue
        # The HTTP library uses a string subclass for header names, which the
        # codecs don't accept.
        kept.append((str(name), value))
    return kept


def parse_timeout_s(text: str) -> float:
    """Returns the timeout of a caller, in seconds.

    Raises:
        errors.InvalidHeaderError: The text isn't a number of seconds above
            zero and at most `MAX_TIMEOUT_S`.
    """
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s <= MAX_TIMEOUT_S:
        raise errors.InvalidHeaderError(
            f"{TIMEOUT}: {text[:40]!r} isn't a number of seconds above 0 and "
            f"at most {MAX_TIMEOUT_S:.0f}: send for example '2.5'"
        )
    return timeout_s


def parse_bearer(text: str) -> str:
    """Returns the key in an Authorization header, or an empty string."""
    if text[: len(_BEARER)].lower() != _BEARER:
        return ""
    return text[len(_BEARER) :].strip()
