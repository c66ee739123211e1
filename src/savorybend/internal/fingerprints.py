"""Digests that tell whether two requests are the same."""

import hashlib

from savorybend.internal import bodies
from savorybend.internal import calls

_DIGEST_BYTES = 16

# These differ between two sendings of one request, so a caller that crashes
# backend servers would never be recognised by them.
_CHANGING = frozenset(
    {
        "baggage",
        "date",
        "traceparent",
        "tracestate",
        "user-agent",
        "x-correlation-id",
        "x-request-id",
    }
)


def of_request(call: calls.Call, body: bodies.Body) -> bytes:
    """Returns what two sendings under one request ID have in common."""
    return _digest(call, body, [])


def of_content(call: calls.Call, body: bodies.Body) -> bytes:
    """Returns what a backend server sees of a request, whatever its ID."""
    seen = [
        f"{name.lower()}:{value}"
        for name, value in call.headers
        if name.lower() not in _CHANGING
    ]
    return _digest(call, body, sorted(seen))


def _digest(call: calls.Call, body: bodies.Body, seen: list[str]) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    # A streamed body is not at hand before it is sent on; its length stands
    # in for it.
    fields = [call.client_account, call.method, call.target, *seen]
    for field in fields:
        digest.update(field.encode(errors="surrogateescape"))
        digest.update(b"\0")
    if body.whole is not None:
        digest.update(body.whole)
    return digest.digest()
