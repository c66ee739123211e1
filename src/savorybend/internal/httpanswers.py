"""Converts answers to HTTP responses."""

import asyncio
import math

from aiohttp import web

from savorybend.internal import calls
from savorybend.internal import errors
from savorybend.internal import headers


def create(answer: calls.Answer, request_id: str) -> web.Response:
    """Returns the HTTP response to an answer whose body is in memory."""
    response = web.Response(status=answer.status, body=answer.body.whole)
    _set_headers(response, answer, request_id)
    return response


async def send(
    request: web.BaseRequest, answer: calls.Answer, request_id: str
) -> web.StreamResponse:
    """Sends an answer, streaming its body if it isn't in memory.

    If the body ends early, the connection is aborted, so that the caller never
    mistakes a truncated body for a complete one.
    """
    if answer.body.whole is not None:
        return create(answer, request_id)
    response = web.StreamResponse(status=answer.status)
    _set_headers(response, answer, request_id)
    response.content_length = answer.body.length
    try:
        await response.prepare(request)
        while data := await answer.body.read():
            await response.write(data)
        await response.write_eof()
    except errors.AnswerLostError:
        if request.transport is not None:
            request.transport.abort()
    except (asyncio.CancelledError, ConnectionError):
        answer.body.abandon()
        raise
    return response


def _set_headers(
    response: web.StreamResponse, answer: calls.Answer, request_id: str
) -> None:
    for name, value in answer.headers:
        response.headers.add(name, value)
    response.headers[headers.OUTCOME] = answer.outcome.value
    response.headers[headers.DECIDED_BY] = answer.decided_by
    if request_id:
        response.headers[headers.REQUEST_ID] = request_id
    if answer.reason:
        response.headers[headers.REASON] = answer.reason
    if answer.retry_after_s > 0:
        # The header holds whole seconds; the body has the exact value.
        seconds = math.ceil(answer.retry_after_s)
        response.headers[headers.RETRY_AFTER] = str(seconds)
