"""Definitions shared by the HTTP/1.1 client and server."""

import http

Headers = list[tuple[bytes, bytes]]

_REASONS = {one.value: one.phrase.encode() for one in http.HTTPStatus}


def status_line(status: int) -> bytes:
    """Returns the status line of a response."""
    return b"HTTP/1.1 %d %s\r\n" % (status, _REASONS.get(status, b"Unknown"))
