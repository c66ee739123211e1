"""A server's leaving, acknowledged while the store is down; see claim.txt."""

import asyncio
import sys
import time

from support_2 import deployment
from support_2 import http

_DRAIN_S = 2.0
_STABILITY_WINDOW_S = 3.0
_OUTAGE_BEFORE_S = 0.5
_KILL_AFTER_S = 2.0
_DOWN_S = 1.0
_SERVES_ON_S = 10.0
_WORK_S = 0.02
_REQUESTS = 200
_EVERY_S = 0.01
_ROUTES = [
    {
        "pathPrefix": "/post/",
        "type": "non_idempotent",
        "service": "huvo11a",
        "priority": 0,
    }
]


async def _refuse(caller, method, target):
    """Answers as the store does that is down."""
    return http.encode_response(503)


async def _restart_all(place):
    """Kills all daemons, and starts them again."""
    place.note("all daemons are killed")
    await asyncio.gather(*(one.kill() for one in place.machines))
    await asyncio.sleep(_DOWN_S)
    place.first_start = False
    await asyncio.gather(*(one.start_daemon() for one in place.machines))
    place.note("all daemons are started again")


async def _end(place, server, at_s):
    """Ends a server that has left."""
    await asyncio.sleep(at_s - time.monotonic())
    place.note(f"{server.instance} exits")
    await server.stop()


async def _post(place, number):
    """Sends a request in its turn; returns the answer's status."""
    await asyncio.sleep(number * _EVERY_S)
    client = place.machines[2]
    request = http.encode_request(
        "POST",
        f"/post/{number}",
        deployment.request_headers(f"post-{number}"),
        b"one",
    )
    answer = await http.ask(client.host, client.outbound, request, 7.0)
    status = answer.start[1] if answer else "no answer"
    place.note(f"post-{number} is answered {status}")
    return status


async def _case(place, trouble):
    await place.start(
        ["huvo11a", "huvo11a", "lovo22d", "lovo22d"],
        deployment.configuration(1, _ROUTES),
    )
    leaving = place.machines[0].server
    late = []
    left_s = None

    def on_run(server, request):
        at_s = time.monotonic()
        request_id = request.headers["request-id"]
        place.note(f"{server.instance} runs {request_id}")
        if server is leaving and left_s and at_s > left_s + _DRAIN_S:
            late.append(request_id)

    for machine in place.machines:
        machine.server.on_run = on_run
        machine.server.work_s = {"post": _WORK_S}
    if trouble:
        place.note("the store is down")
        place.store.weather = _refuse
    await asyncio.sleep(_OUTAGE_BEFORE_S)
    leaving.stop_beats()
    status = await leaving.deregister()
    if status != 200:
        place.note(f"{leaving.instance} leaves: answered {status}")
        raise deployment.CannotRunError("the leaving isn't acknowledged")
    left_s = time.monotonic()
    place.note(f"{leaving.instance} has left: acknowledged with {status}")
    await asyncio.sleep(_KILL_AFTER_S)
    if trouble:
        place.store.weather = None
        place.note("the store is back")
        await _restart_all(place)
    await asyncio.sleep(_STABILITY_WINDOW_S)
    async with asyncio.timeout(20.0):
        while not all([await one.is_ready() for one in place.machines]):
            await asyncio.sleep(0.1)
    await asyncio.sleep(_STABILITY_WINDOW_S)
    place.note("all machines are in touch; requests are sent")
    if time.monotonic() > left_s + _SERVES_ON_S:
        raise deployment.CannotRunError("the server would have ended by then")
    ending = asyncio.create_task(_end(place, leaving, left_s + _SERVES_ON_S))
    answers = await asyncio.gather(
        *(_post(place, number) for number in range(_REQUESTS))
    )
    counts = {one: answers.count(one) for one in sorted(set(answers))}
    place.note(f"answers: {counts}")
    await ending
    place.note(
        f"reached {leaving.instance} later than drain = {_DRAIN_S} s after "
        f"the acknowledgement: {late}"
    )
    return not late


if __name__ == "__main__":
    sys.exit(deployment.run(__file__, _case))
