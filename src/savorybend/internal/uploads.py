"""Reads request bodies within the size limit and the deadline."""

import asyncio

from aiohttp import web

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import errors
from savorybend.internal import outcomes
from savorybend.internal import timers


class _Upload(bodies.StreamedBody):
    """A body that is read from a caller's connection while it is forwarded."""

    def __init__(self, request: web.BaseRequest, limit_bytes: int):
        super().__init__(self._read_part, request.content_length)
        self._content = request.content
        self._limit_bytes = limit_bytes
        self._seen_bytes = 0

    @property
    def excessive(self) -> bool:
        """Whether the bytes read so far exceed the limit."""
        return self._seen_bytes > self._limit_bytes

    @property
    def excess(self) -> str:
        """The limit, as error messages state it."""
        return f"at most {self._limit_bytes} bytes"

    async def _read_part(self) -> bytes:
        try:
            data = await self._content.readany()
        except web.RequestPayloadError as error:
            raise errors.AnswerLostError(
                f"the request's body broke off ({error}): send it again"
            ) from error
        self._seen_bytes += len(data)
        if self.excessive:
            raise errors.AnswerLostError(
                f"the body is too large: send {self.excess}"
            )
        return data


async def read(
    request: web.BaseRequest,
    call: calls.Call,
    limit_bytes: int,
    clock: timers.Clock,
) -> bodies.Body | outcomes.Refuse:
    """Returns a request's body, in memory if it is small, else as a stream.

    Returns a refusal if the declared length exceeds `limit_bytes` or a small
    body isn't received before the call's deadline.
    """
    length = request.content_length
    if length is not None and length > limit_bytes:
        return outcomes.refuse(
            outcomes.BODY_TOO_LARGE, f"{length} bytes; at most {limit_bytes}"
        )
    if not request.body_exists:
        return bodies.EMPTY
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
    if length is None or length > bodies.INLINE_BYTES:
        return _Upload(request, limit_bytes)
    content = request.content
    if content.is_eof():
        return bodies.WholeBody(content.read_nowait(-1))
    try:
        async with asyncio.timeout(max(0.0, call.deadline_s - clock.now_s())):
            return bodies.WholeBody(await content.read(-1))
    except TimeoutError:
        return outcomes.refuse(
            outcomes.TOO_LATE, "the body did not arrive before the deadline"
        )


def explain_oversized(
    call: calls.Call, body: bodies.Body, answer: calls.Answer
) -> calls.Answer:
    """Returns the answer, with the reason if the body exceeded the limit.

    The outcome is kept, since the backend server has received the first part
    of the body.
    """
    if not isinstance(body, _Upload) or not body.excessive:
        return answer
    answer.body.abandon()
    told = calls.create_own_answer(
        answer.outcome,
        outcomes.BODY_TOO_LARGE,
        call.request_id,
        answer.decided_by,
        detail=body.excess,
        retries_spent=answer.retries_spent,
        threshold=answer.threshold,
    )
    return told._replace(effects=answer.effects)
