"""Digests that identify the same request or the same request content."""

import hashlib

from savorybend.internal import bodies
from savorybend.internal import calls

_DIGEST_BYTES = 16

# These headers differ each time the same request is sent. Were they part of the
# digest, a request that crashes backend servers would never be recognised.
_VOLATILE_HEADERS = frozenset(
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
    """Returns a digest that is the same when a request is resent.

    It covers the account, method, target and body, but no headers.
    """
    return _digest(call, body, [])


def of_content(call: calls.Call, body: bodies.Body) -> bytes:
    """Returns a digest of what a backend server sees of a request.

    It doesn't depend on the request's ID or on volatile headers.
    """
    headers = [
        f"{name.lower()}:{value}"
        for name, value in call.headers
        if name.lower() not in _VOLATILE_HEADERS
    ]
    return _digest(call, body, sorted(headers))


def _digest(call: calls.Call, body: bodies.Body, headers: list[str]) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    # A streamed body isn't available before it is forwarded, so it isn't
    # covered, and neither is its length.
    fields = [call.client_account, call.method, call.target, *headers]
    for field in fields:
        digest.update(field.encode(errors="surrogateescape"))
        digest.update(b"\0")
    if body.whole is not None:
        digest.update(body.whole)
    return digest.digest()
