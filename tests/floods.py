"""Responses without end, as faulty servers write them."""

import itertools

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"

# By name: the beginning, and what follows it again and again.
FLOODS = {
    "header lines": (_OK, b"X-Y: z\r\n" * 1000),
    "one header": (_OK + b"X: ", b"y" * 10_000),
    "a status line": (b"HTTP/1.1 200 ", b"OK" * 5_000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "a body without length": (_OK + b"\r\n", b"z" * 100_000),
    "a chunked body": (_CHUNKED, b"fff0\r\n" + b"z" * 65_520 + b"\r\n"),
    "a body of a huge length": (
        _OK + b"Content-Length: 99999999999\r\n\r\n",
        b"z" * 100_000,
    ),
    "trailers": (_CHUNKED + b"0\r\n", b"X-Y: z\r\n" * 1000),
    "no response": (b"", b"z" * 100_000),
}


def write(name):
    """Yields the bytes of a response without end."""
    begin, repeated = FLOODS[name]
    return itertools.chain([begin], itertools.repeat(repeated))
