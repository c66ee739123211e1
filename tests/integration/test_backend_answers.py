"""A daemon gives each call the answer that its backend server gave to it."""

import asyncio

from standins import caller as callers
from standins import rawbackend
from standins import site as sites
from tests import documents
from tests.integration import started

_ANSWERS = (
    rawbackend.create_response(200, b"done"),
    rawbackend.create_response(503, b"", (("Savorybend-Outcome", "not-run"),)),
    rawbackend.create_response(500, b"failed"),
)
# Until what the backend server writes meanwhile has arrived.
_PAUSE_S = 0.1


async def _answer(exchange):
    own = _ANSWERS[exchange.number - 1]
    if exchange.position > 1:
        await exchange.write(_ANSWERS[exchange.number - 2])
    await exchange.write(own, own)


async def _call(site, request_id):
    caller = callers.Caller(site.session, documents.MARUYAMA.text)
    return await caller.call(
        site.addresses["back-1"].call,
        "/back/adjust",
        method="POST",
        headers={"Savorybend-Request-Id": request_id},
    )


async def test_a_copy_of_an_answer_is_not_the_next_calls_answer():
    server = rawbackend.create_raw_server(_answer)
    async with server.serve(), sites.create_site() as site:
        await started.start_beside(site, server)
        caller = callers.Caller(site.session, documents.MARUYAMA.text)
        seen = []
        for request_id in await caller.take_ids(
            site.addresses["back-1"].call, len(_ANSWERS)
        ):
            seen.append(await _call(site, request_id))
            await asyncio.sleep(_PAUSE_S)
    assert [(read.status, read.outcome) for read in seen] == [
        (200, "ran"),
        (503, "not-run"),
        (500, "ran"),
    ]
