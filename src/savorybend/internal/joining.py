"""The join protocol, by which a daemon enters the fleet without the platform.

Daemons accept only connections whose key was announced, so a new one first
sends its record to the admin listener of another. Both sides prove that they
know the fleet secret: the MAC covers a nonce issued by the receiver of the
request, so that recorded messages can't be replayed.
"""

import asyncio
import collections.abc
import hmac
import secrets

import aiohttp
import msgspec
from aiohttp import web

from savorybend.internal import errors
from savorybend.internal import httpserver
from savorybend.internal import metrics
from savorybend.internal import timers
from savorybend.internal.wire import membership as wire

PATH = "/join"

_NONCE = "Savorybend-Nonce"
_MAC = "Savorybend-Mac"
_NONCE_BYTES = 16
_NONCE_TTL_S = 10.0
# More than a whole site needs that starts at once. A flood of requests without
# the secret only evicts the nonces of other joins, which are retried.
_MOST_NONCES = 1024
_LARGEST_BYTES = 4_194_304
_TIMEOUT_S = 2.0
# A record is small; this bounds the body of unauthenticated requests.
_LARGEST_REQUEST_BYTES = 16_384

# An address that isn't one is refused with ValueError as well.
_JOIN_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, ValueError)

Answer = collections.abc.Callable[
    [wire.JoinRequest], collections.abc.Awaitable[wire.JoinReply]
]


class JoinHandler:
    """Handles the join requests of other daemons."""

    def __init__(self, secret: str, clock: timers.Clock, answer: Answer):
        self._secret = secret
        self._clock = clock
        self._answer = answer
        self._nonces: dict[str, float] = {}

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Issues a nonce for a GET; else verifies and answers a join request.

        A request with an invalid MAC, nonce or body is answered with 403.
        """
        if request.method == "GET":
            return web.Response(headers={_NONCE: self._issue()})
        nonce = request.headers.get(_NONCE, "")
        body = await _read(request)
        expected = _mac(self._secret, "request", nonce, body)
        given = request.headers.get(_MAC, "")
        if not self._consume_nonce(nonce) or not hmac.compare_digest(
            given.encode(), expected.encode()
        ):
            return self._refuse("the proof doesn't fit: set one fleet secret")
        try:
            asked = msgspec.msgpack.decode(body, type=wire.JoinRequest)
        except (msgspec.MsgspecError, RecursionError) as error:
            return self._refuse(f"{error}: run one version of savorybend")
        answer = msgspec.msgpack.encode(await self._answer(asked))
        mac = _mac(self._secret, "reply", nonce, answer)
        return web.Response(body=answer, headers={_MAC: mac})

    def _issue(self) -> str:
        while len(self._nonces) >= _MOST_NONCES:
            del self._nonces[next(iter(self._nonces))]
        nonce = secrets.token_hex(_NONCE_BYTES)
        self._nonces[nonce] = self._clock.now_s()
        return nonce

    def _consume_nonce(self, nonce: str) -> bool:
        issued_s = self._nonces.pop(nonce, None)
        if issued_s is None:
            return False
        return self._clock.now_s() - issued_s <= _NONCE_TTL_S

    def _refuse(self, problem: str) -> web.Response:
        metrics.peer_refusals("join").inc()
        return httpserver.json_answer({"error": problem}, 403)


class JoinClient:
    """Sends join requests to other daemons."""

    def __init__(self, secret: str, session: aiohttp.ClientSession):
        self._secret = secret
        self._session = session

    async def join(
        self, address: str, request: wire.JoinRequest
    ) -> wire.JoinReply:
        """Sends a join request and returns the verified reply.

        Raises:
            errors.PeerUnreachableError: There was no reply, its MAC is
                invalid, or it can't be decoded.
        """
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                return await self._join(f"http://{address}{PATH}", request)
        except _JOIN_ERRORS as error:
            raise errors.PeerUnreachableError(
                f"the daemon at {address} did not let this one join "
                f"({type(error).__name__}): check the address"
            ) from error

    async def _join(
        self, url: str, request: wire.JoinRequest
    ) -> wire.JoinReply:
        async with self._session.get(url) as response:
            nonce = response.headers.get(_NONCE, "")
        body = msgspec.msgpack.encode(request)
        sent = {_NONCE: nonce, _MAC: _mac(self._secret, "request", nonce, body)}
        async with self._session.post(url, data=body, headers=sent) as response:
            data = await response.content.read(_LARGEST_BYTES)
            while not response.content.at_eof():
                data += await response.content.read(_LARGEST_BYTES)
            given = response.headers.get(_MAC, "")
        expected = _mac(self._secret, "reply", nonce, data)
        if not hmac.compare_digest(given.encode(), expected.encode()):
            raise errors.PeerUnreachableError(
                f"{url} answered {response.status} without a valid MAC: set "
                "the same SAVORYBEND_FLEET_SECRET on all VMs"
            )
        try:
            return msgspec.msgpack.decode(data, type=wire.JoinReply)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise errors.PeerUnreachableError(
                f"{url} sent an invalid reply to the join request ({error}): "
                "run one version of savorybend on all VMs"
            ) from error


def _mac(secret: str, side: str, nonce: str, body: bytes) -> str:
    message = b"\n".join((side.encode(), nonce.encode(), body))
    return hmac.digest(secret.encode(), message, "sha256").hex()


async def _read(request: web.BaseRequest) -> bytes:
    body = b""
    while len(body) <= _LARGEST_REQUEST_BYTES:
        data = await request.content.readany()
        if not data:
            return body
        body += data
    return body


def create_join_handler(
    secret: str, clock: timers.Clock, answer: Answer
) -> JoinHandler:
    """Returns a handler that passes authenticated requests to `answer`."""
    return JoinHandler(secret, clock, answer)


def create_join_client(
    secret: str, session: aiohttp.ClientSession
) -> JoinClient:
    """Returns a client that authenticates with the fleet secret."""
    return JoinClient(secret, session)
