"""Stand-in for a backend server as the users' platform has it.

It answers on one address, announces itself to the daemon beside it, and can
be told by a request's path to misbehave.
"""

import asyncio
import contextlib
import json
import time
import typing

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import web

_ANNOUNCE_EVERY_S = 0.3


class Arrival(typing.NamedTuple):
    """A request as it reached the backend server.

    Attributes:
        at_s: When it arrived, by the system's monotonic clock, in seconds.
        request_id: Its ID.
        instance: The backend server's ID at that time.
    """

    at_s: float
    request_id: str
    instance: str


class Worker:
    """A backend server.

    Attributes:
        arrivals: All requests that name it as their target, in order.
        ran: IDs of the requests that it began to run, in order.
        seen: Headers of each request, by ID.
        draining: Whether it says that it is leaving.
        instance: Its ID.
        hold_s: How long it works on each request.
        answer_bytes: How much each answer has besides its text.
        obeys_deadlines: Whether it ends its work with 504 at the deadline that
            a request names.
        hold: Set to let requests that wait for it go on.
        crash_path: A request with this path ends the process; empty for none.
        crash_after_s: How long it works on such a request before that.
        crash_silently: Whether its connections stay open after a crash.
        crashed: IDs of the requests that it crashed under, in order.
        down_s: How long it is down after a crash.
        keeps_id: Whether it has the same ID after a crash.
        limit: The limit on requests a second that its answers name; empty for
            none.
        leaving: Whether its answers say that it leaves.
    """

    def __init__(self, service, address, control, instance="i-1", slots=4):
        self.service = service
        self.address = address
        self.control = control
        self.instance = instance
        self.slots = slots
        self.arrivals = []
        self.ran = []
        self.seen = {}
        self.draining = False
        self.hold_s = 0.0
        self.obeys_deadlines = False
        self.answer_bytes = 0
        self.hold = asyncio.Event()
        self.hold.set()
        self.status = 200
        self.spoil = ""
        self.born_ms = 1000
        self.crash_path = ""
        self.crash_after_s = 0.0
        self.crash_silently = False
        self.crashed = []
        self.down_s = 0.3
        self.keeps_id = False
        self.limit = ""
        self.leaving = False
        self._first_instance = instance
        self._sequence = 0
        self._runner = None
        self._announcing = None
        self._restarting = None
        self._transports = set()
        self._crash_over = asyncio.Event()

    @property
    def restarting(self):
        """Whether it has crashed and isn't back yet."""
        return self._restarting is not None

    async def start(self):
        """Begins to listen, and to announce itself."""
        app = web.Application(client_max_size=2**26)
        app.router.add_route("*", "/{rest:.*}", self._handle)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, keepalive_timeout=30
        )
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(
            self._runner, host, int(port), reuse_address=True
        ).start()
        self._announcing = asyncio.create_task(self._announce_often())

    async def stop(self):
        """Ends at once, as a crash does."""
        if self._restarting is not None:
            self._restarting.cancel()
        if self._announcing is not None:
            self._announcing.cancel()
        await self._runner.cleanup()

    async def _crash(self, request):
        """Ends the process while it runs a request; it is back later."""
        if self._restarting is not None:
            return
        self.crashed.append(request.headers["Request-Id"])
        self._crash_over.clear()
        self._restarting = asyncio.create_task(self._restart())
        self._announcing.cancel()
        for site in list(self._runner.sites):
            await site.stop()
        if not self.crash_silently:
            for transport in list(self._transports):
                transport.abort()

    async def _begin_anew(self):
        self.born_ms += 1
        self._sequence = 0
        if not self.keeps_id:
            self.instance = f"{self._first_instance}-{self.born_ms}"
        await self.start()

    async def _restart(self):
        await asyncio.sleep(self.down_s)
        for transport in self._transports:
            transport.abort()
        self._transports.clear()
        self._crash_over.set()
        await self._runner.cleanup()
        await self._begin_anew()
        self._restarting = None

    async def replace(self):
        """Ends, and begins anew with another ID and nothing to say."""
        await self.stop()
        self.limit = ""
        self.leaving = False
        self.draining = False
        self._transports.clear()
        await self._begin_anew()

    def stop_announcing(self):
        """Announces itself no more by itself."""
        self._announcing.cancel()

    async def announce(self, **changes):
        """Announces itself once; returns the answer's status."""
        self._sequence += 1
        body = {
            "address": self.address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "east",
                "slots": self.slots,
            },
            "status": {
                "state": "draining" if self.draining else "ready",
                "sequence": self._sequence,
                "coldRemaining": "0ms",
            },
        }
        body.update(changes)
        return await self._post("heartbeat", body)

    async def leave(self):
        """Says that it is gone; returns the answer's status."""
        return await self._post("deregister", {"born": self.born_ms})

    async def _post(self, action, body):
        url = f"http://{self.control}/instances/{self.instance}/{action}"
        async with (
            ClientSession() as session,
            session.post(url, data=json.dumps(body)) as response,
        ):
            return response.status

    async def _announce_often(self):
        while True:
            with contextlib.suppress(OSError, ClientError):
                await self.announce()
            await asyncio.sleep(_ANNOUNCE_EVERY_S)

    def _time_left_s(self, request):
        if not self.obeys_deadlines:
            return None
        return int(request.headers["Deadline-Ms"]) / 1000

    def _conditions(self):
        named = {"Server-Limit": self.limit} if self.limit else {}
        if self.leaving:
            named["Server-Leaving"] = "1"
        return named

    async def _handle(self, request):
        request_id = request.headers.get("Request-Id", "")
        self._transports.add(request.transport)
        if self._restarting is not None:
            # The process is gone, though its connections may not show it.
            await self._crash_over.wait()
        if request.headers.get("Target-Instance") != self.instance:
            return web.Response(
                status=421, headers={"Instance-Id": self.instance}
            )
        self.arrivals.append(
            Arrival(time.monotonic(), request_id, self.instance)
        )
        body = await request.read()
        self.ran.append(request_id)
        self.seen[request_id] = dict(request.headers)
        if request.path == self.crash_path:
            await asyncio.sleep(self.crash_after_s)
            await self._crash(request)
            await self._crash_over.wait()
        headers = {"Request-Id": request_id, "Response-Signature": "s"}
        try:
            async with asyncio.timeout(self._time_left_s(request)):
                await asyncio.sleep(self.hold_s)
                await self.hold.wait()
        except TimeoutError:
            return web.Response(status=504, headers=headers)
        headers.update(self._conditions())
        if self.spoil == "reset":
            request.transport.abort()
        if self.spoil == "unsigned":
            del headers["Response-Signature"]
        if self.spoil == "another":
            headers["Request-Id"] = "of-another"
        if self.spoil == "encoded":
            headers["Content-Encoding"] = "identity"
        if self.spoil == "shed":
            self.ran.remove(request_id)
            headers["Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        text = f"{self.instance} {request.method} {request.path_qs} "
        return web.Response(
            status=self.status,
            headers=headers,
            body=text.encode() + body + bytes(self.answer_bytes),
        )
