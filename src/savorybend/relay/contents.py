"""Digests that identify the content of requests."""

import hashlib

from savorybend.relay import calls

_DIGEST_BYTES = 16
_SCOPE_BYTES = 8


class Request:
    """A call and the digest of its content, computed when first needed.

    Attributes:
        request_id: The caller's ID for it.
        service: The service that is to run it.
        route: The route's name.
    """

    __slots__ = (
        "request_id",
        "service",
        "route",
        "_client_account",
        "_call",
        "_digest",
    )

    def __init__(self, call: calls.Call):
        self.request_id = call.request_id
        self.service = call.service
        self.route = call.route
        self._client_account = call.client_account
        self._call: calls.Call | None = call
        self._digest: bytes | None = None

    @property
    def digest(self) -> bytes:
        """Digest of host, method, target and body."""
        if self._digest is None:
            call = self._call
            self._digest = _hash(
                _DIGEST_BYTES,
                call.host.encode("latin-1"),
                call.method,
                call.target,
                call.body,
            )
        return self._digest

    @property
    def scope(self) -> str:
        """Identifies the client account and the service."""
        return _hash(
            _SCOPE_BYTES, self.service.encode(), self._client_account.encode()
        ).hex()

    def release_body(self) -> None:
        """Drops the call; its digest stays."""
        self._digest = self.digest
        self._call = None


def _hash(size: int, *parts: bytes) -> bytes:
    content = hashlib.blake2b(digest_size=size)
    for part in parts:
        content.update(len(part).to_bytes(8, "big"))
        content.update(part)
    return content.digest()
