"""HTTP listeners; every response, errors included, states an outcome."""

import collections.abc

import msgspec
from aiohttp import web

from savorybend.internal import headers
from savorybend.internal import logs
from savorybend.internal import metrics
from savorybend.internal import outcomes
from savorybend.internal import timers

# Much longer than receiving the headers takes over a bad line, much shorter
# than opening as many connections as the daemon has file descriptors.
_HEAD_S = 10.0
_KEEP_ALIVE_S = 75.0

Handler = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
]

_log = logs.get()


class _Protocol(web.RequestHandler):
    """Answers malformed requests in the same format as any other."""

    __slots__ = ("_head_expiry", "_timers")

    def __init__(self, *args, timer_service: timers.TimerService, **kwargs):
        super().__init__(*args, **kwargs)
        self._timers = timer_service
        self._head_expiry: timers.Subscription | None = None

    def data_received(self, data: bytes) -> None:
        """Parses received data and limits the time to complete the headers."""
        super().data_received(data)
        # The library waits for incomplete headers without a time limit, so
        # callers that send a byte now and then would exhaust the descriptors.
        unfinished = self._waiter is not None and not self._waiter.done()
        if unfinished and self._head_expiry is None:
            self._head_expiry = self._timers.after(_HEAD_S, self._end_head)
        elif not unfinished and self._head_expiry is not None:
            self._head_expiry.cancel()
            self._head_expiry = None

    def _end_head(self) -> None:
        self._head_expiry = None
        if self.transport is not None:
            metrics.HALF_OPEN_REQUESTS.inc()
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to a request that failed or can't be parsed."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response was already partly sent")
        reason = outcomes.REQUEST_INVALID
        outcome = outcomes.Outcome.NOT_RUN
        if status >= 500:
            reason = outcomes.INTERNAL
            outcome = outcomes.Outcome.UNKNOWN
            _log.error("request_failed", path=request.path, exc_info=exc)
        response = web.json_response(
            {
                "outcome": outcome.value,
                "reason": reason.name,
                "detail": type(exc).__name__ if exc else "",
                "remedy": reason.remedy,
            },
            status=status,
            headers={
                headers.OUTCOME: outcome.value,
                headers.REASON: reason.name,
            },
        )
        response.force_close()
        return response


class _Server(web.Server):
    """An HTTP server whose connections use `_Protocol`."""

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return _Protocol(self, loop=self._loop, **self._kwargs)


class Listener:
    """An HTTP listener."""

    def __init__(
        self,
        handler: Handler,
        header_limit_bytes: int,
        timer_service: timers.TimerService,
    ):
        server = _Server(
            handler,
            handler_cancellation=True,
            access_log=None,
            max_line_size=header_limit_bytes,
            max_field_size=header_limit_bytes,
            keepalive_timeout=_KEEP_ALIVE_S,
            timer_service=timer_service,
        )
        self._runner = web.ServerRunner(server, handle_signals=False)
        self._site: web.TCPSite | None = None

    async def start(self, host: str, port: int) -> None:
        """Accepts connections at an address."""
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await self._site.start()

    async def stop(self) -> None:
        """Closes the listener and its idle connections."""
        await self._runner.cleanup()


def json_answer(value: object, status: int = 200) -> web.Response:
    """Returns a response with `value` as its JSON body."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )


def create_listener(
    handler: Handler,
    header_limit_bytes: int,
    timer_service: timers.TimerService,
) -> Listener:
    """Returns a listener that passes each request to `handler`."""
    return Listener(handler, header_limit_bytes, timer_service)
