"""Stand-in for a backend server ("worker" on the users' pages)."""

import asyncio
import json
import time

from support_2 import http

_BEAT_S = 1.5


class Server:
    """A sound server of one service, which announces itself.

    Attributes:
        work_s: How long it works on a request, by the first part of its path.
        answer_bytes: Size of its answers, by the first part of the path.
        seen: Each run as (time, request).
        on_run: Called with each request that it begins to run.
    """

    def __init__(
        self, service: str, address, control, instance: str, slots=133
    ):
        self.service = service
        self.address = address
        self.control = control
        self.instance = instance
        self.slots = slots
        self.work_s: dict[str, float] = {}
        self.answer_bytes: dict[str, int] = {}
        self.seen: list[tuple[float, http.Message]] = []
        self.on_run = None
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen, and to announce itself."""
        host, port = self.address
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20
        )
        self._beats = asyncio.create_task(self._beat_often())

    async def stop(self) -> None:
        """Ends."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def restart(self, clock_ms: int) -> None:
        """Starts again under the same ID, and knows nothing of before.

        Args:
            clock_ms: How much the time of day on its machine is off.
        """
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000) + clock_ms
        await self.start()

    def stop_beats(self) -> None:
        """Announces itself no more."""
        if self._beats is not None:
            self._beats.cancel()

    async def beat(self) -> int:
        """Announces itself once; returns the answer's status, or 0."""
        self.sequence += 1
        host, port = self.address
        body = {
            "address": f"{host}:{port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "seeb",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldRemaining": "0ms",
            },
        }
        return await self._post("heartbeat", body)

    async def deregister(self) -> int:
        """Says that it is gone; returns the answer's status, or 0."""
        return await self._post("deregister", {"born": self.born})

    async def _post(self, action: str, body: dict) -> int:
        host, port = self.control
        request = http.encode_request(
            "POST",
            f"/instances/{self.instance}/{action}",
            {
                "Host": f"{host}:{port}",
                "Content-Type": "application/json",
                "Connection": "close",
            },
            json.dumps(body).encode(),
        )
        answer = await http.ask(host, port, request, 1.0)
        return int(answer.start[1]) if answer else 0

    async def _beat_often(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(_BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await http.read_message(reader)) is not None:
                writer.write(await self._run(request))
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, request: http.Message) -> bytes:
        request_id = request.headers.get("request-id", "")
        if request.headers.get("target-instance", self.instance) != (
            self.instance
        ):
            return http.encode_response(421, {"Request-Id": request_id})
        self.seen.append((time.monotonic(), request))
        if self.on_run is not None:
            self.on_run(self, request)
        kind = request.start[1].split("/")[1]
        headers = {"Request-Id": request_id, "Response-Signature": "proof"}
        limit_s = int(request.headers.get("deadline-ms", 30_000)) / 1000
        work_s = self.work_s.get(kind, 0.0)
        await asyncio.sleep(min(work_s, limit_s))
        if work_s > limit_s:
            return http.encode_response(504, headers)
        body = f"{self.instance} {request.start[1]} ".encode()
        body += bytes(self.answer_bytes.get(kind, 0))
        headers["Keep-Alive"] = "timeout=10"
        return http.encode_response(200, headers, body)
