"""Converts HTTP headers to and from this system's types."""

import math
import re

from savorybend.platform import names
from savorybend.relay import calls
from savorybend.relay import conditions
from savorybend.relay import exchanges
from savorybend.relay import http1
from savorybend.relay import outcomes
from savorybend.relay import responseparser
from savorybend.relay import upstream

# Hop-by-hop headers, and those of the framing.
_HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"host",
    b"expect",
}
# Headers that the daemon sets, whatever the caller sent.
_SET_BY_DAEMON = {
    names.DEADLINE,
    names.KEY,
    names.CALLER_SERVICE,
    names.CLIENT_ACCOUNT,
    names.INSTANCE,
}
_DROPPED_FROM_REQUESTS = _HOP_BY_HOP | _SET_BY_DAEMON
# Addressed to daemons, not to callers.
_FOR_DAEMONS = {names.LOAD, names.LIMIT, names.LEAVING}
_DROPPED_FROM_RESPONSES = _HOP_BY_HOP | _FOR_DAEMONS
# A success without these isn't the backend server's, or not this request's.
_REQUIRED_ON_SUCCESS = {names.SIGNATURE, names.REQUEST_ID}
_MISDIRECTED = 421
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")
_MIN_DEADLINE_MS = 1
_MAX_LIMIT_CHARACTERS = 32
_LEAVES = b"1"


class Ingress:
    """Decodes requests of callers, and builds header lines."""

    def __init__(self, service: str):
        self._service = service

    def set_service(self, service: str) -> None:
        """Sets the service of this VM's backend server."""
        self._service = service

    def decode(self, exchange: exchanges.Exchange) -> calls.Incoming | None:
        """Returns the decoded request; None if it is malformed."""
        head = []
        request_id = b""
        host = b""
        key = b""
        deadline: bytes | None = None
        for name, value in exchange.headers:
            if name not in _DROPPED_FROM_REQUESTS:
                if name == names.REQUEST_ID:
                    request_id = value
                head.append(b"%s: %s\r\n" % (name, value))
            elif name == b"host":
                host = value
            elif name == names.DEADLINE:
                deadline = value
            elif name == names.KEY:
                key = value
        left_s = None
        if deadline is not None:
            try:
                left_s = float(deadline) / names.MILLISECONDS_PER_S
            except ValueError:
                return None
        return calls.Incoming(
            request_id=request_id.decode("latin-1"),
            method=exchange.method,
            target=exchange.target,
            host=host.partition(b":")[0].decode("latin-1"),
            left_s=left_s,
            key=key.decode("latin-1"),
            head=b"".join(head),
            body=exchange.body,
        )

    def added_headers(self, client_account: str) -> bytes:
        """Returns the header lines that the daemon adds to a request."""
        caller = b"Caller-Service: %s\r\n" % self._service.encode()
        if not client_account:
            return caller
        return caller + b"Tenant-Id: %s\r\n" % client_account.encode()

    def refusal_head(self, request_id: str, retry_after_s: float) -> bytes:
        """Returns the header lines of an answer that the daemon makes."""
        head = b""
        if request_id:
            head = b"Request-Id: %s\r\n" % request_id.encode("latin-1")
        if retry_after_s > 0:
            head += b"Retry-After: %.3f\r\n" % retry_after_s
        return head


class Backend:
    """Encodes requests to a backend server and decodes its responses."""

    def encode_head(
        self, call: calls.Call, instance: str, left_s: float
    ) -> bytes:
        """Returns the head of a request, with the empty line."""
        left_ms = max(_MIN_DEADLINE_MS, int(left_s * 1000))
        return (
            b"%s %s HTTP/1.1\r\nHost: %s\r\n%sDeadline-Ms: %d\r\n"
            b"Target-Instance: %s\r\nContent-Length: %d\r\n\r\n"
            % (
                call.method,
                call.target,
                call.host.encode("latin-1"),
                call.head,
                left_ms,
                instance.encode(),
                len(call.body),
            )
        )

    def match(self, request_id: str, headers: http1.Headers) -> upstream.Match:
        """Returns how the headers of a response fit a request."""
        found = {value for name, value in headers if name == names.REQUEST_ID}
        if not found:
            return upstream.Match.UNNAMED
        if len(found) > 1:
            return upstream.Match.AMBIGUOUS
        if found == {request_id.encode("latin-1")}:
            return upstream.Match.OWN
        return upstream.Match.ANOTHER

    def request_id(self, headers: http1.Headers) -> str | None:
        """Returns the request ID of a response; None if it bears none."""
        for name, value in headers:
            if name == names.REQUEST_ID:
                return value.decode("latin-1")
        return None

    def decode(
        self, request_id: str, response: responseparser.Response
    ) -> outcomes.Outcome:
        """Returns the outcome that a response stands for."""
        names_seen = {name for name, _ in response.headers}
        if response.status == _MISDIRECTED:
            return outcomes.NotRun(outcomes.NOT_THE_INSTANCE)
        if names.NOT_EXECUTED in names_seen:
            return outcomes.NotRun(outcomes.SHED, arrived=True)
        whole = (
            names_seen >= _REQUIRED_ON_SUCCESS
            and b"content-encoding" not in names_seen
        )
        success = _FIRST_SUCCESS <= response.status < _FIRST_REDIRECT
        if success and not whole:
            return outcomes.Lost(outcomes.GARBLED)
        head = [
            b"%s: %s\r\n" % (name, value)
            for name, value in response.headers
            if name not in _DROPPED_FROM_RESPONSES
        ]
        return outcomes.Ran(response.status, b"".join(head), response.body)

    def conditions(self, headers: http1.Headers) -> conditions.Conditions:
        """Returns the conditions that a response names."""
        limit: conditions.Limit = conditions.Unlimited()
        leaving = False
        for name, value in headers:
            if name == names.LIMIT:
                limit = conditions.stricter(limit, _parse_limit(value))
            elif name == names.LEAVING:
                leaving = leaving or value.strip() == _LEAVES
        return conditions.Conditions(limit, leaving)

    def idle_timeout_s(self, headers: http1.Headers) -> float | None:
        """Returns the announced idle timeout in seconds; None if absent."""
        for name, value in headers:
            if name == b"keep-alive":
                found = _TIMEOUT.search(value)
                return float(found[1]) if found else None
        return None


def _parse_limit(value: bytes) -> conditions.Limit:
    invalid = conditions.Invalid(value[:_MAX_LIMIT_CHARACTERS])
    if len(value) > _MAX_LIMIT_CHARACTERS or b"_" in value:
        return invalid
    try:
        rate_per_s = float(value)
    except ValueError:
        return invalid
    if not math.isfinite(rate_per_s) or rate_per_s < 0:
        return invalid
    return conditions.Limited(rate_per_s)
