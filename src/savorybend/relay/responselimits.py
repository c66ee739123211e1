"""Bounds on the responses of servers, whose bytes may never end."""

import typing

# Far above the responses of servers that work.
_MAX_HEAD_BYTES = 65_536
_MAX_HEADERS = 256
_MAX_INTERIM_RESPONSES = 16
_MAX_BODY_BYTES = 16 << 20
# Framing of a chunked body: bytes in all, and for each byte of the body.
_MAX_FRAMING_BYTES = 65_536
_MAX_FRAMING_RATIO = 8


class Limits(typing.NamedTuple):
    """Bounds on one response.

    Attributes:
        head_bytes: Largest head, in bytes.
        headers: Largest number of headers.
        interim_responses: Largest number of interim responses before it.
        body_bytes: Largest body, in bytes.
    """

    head_bytes: int = _MAX_HEAD_BYTES
    headers: int = _MAX_HEADERS
    interim_responses: int = _MAX_INTERIM_RESPONSES
    body_bytes: int = _MAX_BODY_BYTES

    def allows_framing(self, framing_bytes: int, body_bytes: int) -> bool:
        """Returns whether a body may have so many bytes of framing."""
        allowed = _MAX_FRAMING_BYTES + _MAX_FRAMING_RATIO * body_bytes
        return framing_bytes <= allowed
