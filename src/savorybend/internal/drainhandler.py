"""How a daemon tells callers, while it leaves, to go to another one."""

import collections.abc

from aiohttp import web

from savorybend.internal import calls
from savorybend.internal import headers
from savorybend.internal import httpanswers
from savorybend.internal import httpserver
from savorybend.internal import outcomes


class DrainHandler:
    """Passes requests on until the daemon is about to close its listener."""

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
        """Refuses new requests from now on; nothing of them has run."""
        self._closing = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request, and lets go of its connection in a drain."""
        if self._closing:
            return self._refuse(request)
        response = await self._handler(request)
        if self._draining():
            _let_go(request, response)
        return response

    def _refuse(self, request: web.BaseRequest) -> web.Response:
        request_id = request.headers.get(headers.REQUEST_ID, "")
        refusal = outcomes.refuse(outcomes.ELSEWHERE)
        answer = calls.create_not_run_answer(refusal, request_id, self._daemon)
        response = httpanswers.create(answer, request_id)
        response.force_close()
        return response


def _let_go(request: web.BaseRequest, response: web.StreamResponse) -> None:
    # A connection kept open would be cut at the end; its caller is to open
    # the next one elsewhere.
    if response.prepared:
        request.protocol.close()
    else:
        response.force_close()


def create_drain_handler(
    daemon: str,
    handler: httpserver.Handler,
    draining: collections.abc.Callable[[], bool],
) -> DrainHandler:
    """Returns a door in front of the entry's `handler`."""
    return DrainHandler(daemon, handler, draining)
