"""Moves callers to other daemons while this one drains."""

import collections.abc

from aiohttp import web

from savorybend.internal import calls
from savorybend.internal import headers
from savorybend.internal import httpanswers
from savorybend.internal import httpserver
from savorybend.internal import outcomes


class DrainHandler:
    """Wraps the ingress handler.

    During a drain it closes connections after an answer, and once `close` is
    called it refuses requests.
    """

    def __init__(
        self,
        daemon: str,
        handler: httpserver.Handler,
        draining: collections.abc.Callable[[], bool],
    ):
        self._daemon = daemon
        self._handler = handler
        self._draining = draining
        self._closing = False

    def close(self) -> None:
        """Refuses new requests from now on, before anything of them runs."""
        self._closing = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request, and closes its connection during a drain."""
        if self._closing:
            return self._refuse(request)
        response = await self._handler(request)
        if self._draining():
            _close_connection(request, response)
        return response

    def _refuse(self, request: web.BaseRequest) -> web.Response:
        request_id = request.headers.get(headers.REQUEST_ID, "")
        refusal = outcomes.refuse(outcomes.ELSEWHERE)
        answer = calls.create_not_run_answer(refusal, request_id, self._daemon)
        response = httpanswers.create(answer, request_id)
        response.force_close()
        return response


def _close_connection(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    # A connection kept open would be cut when the daemon stops; closed after
    # an answer, it makes the caller connect to another daemon.
    if response.prepared:
        request.protocol.close()
    else:
        response.force_close()


def create_drain_handler(
    daemon: str,
    handler: httpserver.Handler,
    draining: collections.abc.Callable[[], bool],
) -> DrainHandler:
    """Returns a drain handler in front of the ingress.

    Args:
        daemon: Name of this daemon.
        handler: The handler of the ingress.
        draining: Returns whether the daemon drains.
    """
    return DrainHandler(daemon, handler, draining)
