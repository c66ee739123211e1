"""Stand-in for a backend server: slots, children, faults and a record.

Its control pages, under /control, show what it saw and set its faults.
"""

import argparse
import asyncio
import collections
import hashlib
import json
import os
import time

import aiohttp
from aiohttp import web

_ANNOUNCE_S = 0.5
_CRASH_HEADER = "X-Crash"
_SIZE_HEADER = "X-Answer-Bytes"
_FORWARDED = ("Savorybend-Handle",)
_CHUNK = 65_536


class Backend:
    """One backend server."""

    def __init__(self, options):
        self._options = options
        self._slots = asyncio.Semaphore(options.slots)
        self._in_use = 0
        self._started_s = time.monotonic()
        self._session = None
        self.slow = 1.0
        self.fail = False
        self.fail_above = False
        self.report = None
        self.announced = options.slots
        self.draining = False
        self.runs = collections.Counter()
        self.cancelled = 0
        self.header_names = set()
        self.secrets_seen = 0

    async def start(self, app):
        """Opens the client session and announces the backend server."""
        self._session = aiohttp.ClientSession()
        app["announcer"] = asyncio.create_task(self._announce())

    async def stop(self, app):
        """Closes what `start` opened."""
        app["announcer"].cancel()
        await self._session.close()

    async def handle(self, request):
        """Runs one call: work, then the children one after another."""
        self._record(request)
        if _CRASH_HEADER in request.headers:
            os._exit(9)
        try:
            return await self._run(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def _run(self, request):
        digest, size = await _digest(request)
        async with self._slots:
            self._in_use += 1
            try:
                await asyncio.sleep(self._work_s())
                self._count(request)
                children = await self._call_children(request)
            finally:
                self._in_use -= 1
        if self._fails(request, children):
            return web.json_response({"error": "told to fail"}, status=500)
        body = {
            "service": self._options.service,
            "request_id": request.headers["Savorybend-Request-Id"],
            "path": request.path_qs,
            "body_sha256": digest,
            "body_bytes": size,
            "children": children,
        }
        failed = not all(_whole(child) for child in children)
        headers = {"Savorybend-Outcome": "partial"} if failed else {}
        if _SIZE_HEADER in request.headers:
            return await _stream(request, int(request.headers[_SIZE_HEADER]))
        return web.json_response(body, headers=headers)

    def _fails(self, request, children):
        if isinstance(self.fail, str) and request.path.startswith(self.fail):
            return True
        if self.fail_above and any(c["status"] >= 500 for c in children):
            return True
        return self.fail is True

    def _count(self, request):
        request_id = request.headers["Savorybend-Request-Id"]
        self.runs[request_id] += 1
        if request.method != "GET":
            # The site keeps this line when the backend server is killed.
            print(f"effect {request_id}", flush=True)

    def _record(self, request):
        self.header_names.update(name.lower() for name in request.headers)
        text = json.dumps(list(request.headers.items()))
        if "authorization" in request.headers or "Bearer" in text:
            self.secrets_seen += 1

    def _work_s(self):
        age_s = time.monotonic() - self._started_s
        cold = 3.0 if age_s < self._options.cold_s else 1.0
        return self._options.work_ms / 1000 * self.slow * cold

    async def _call_children(self, request):
        answers = []
        for child in self._options.child:
            prefix, _, asked = child.partition("=")
            if not request.path.startswith(prefix):
                continue
            method, _, path = asked.partition(":")
            for _ in range(self._options.child_tries):
                answer = await self._call_child(request, method, path)
                if _whole(answer):
                    break
            answers.append(answer)
        return answers

    async def _call_child(self, request, method, path):
        headers = {name: request.headers[name] for name in _FORWARDED}
        url = f"http://{self._options.daemon}{path}"
        async with self._session.request(
            method, url, headers=headers
        ) as answer:
            await answer.read()
            return {
                "path": path,
                "status": answer.status,
                "outcome": answer.headers.get("Savorybend-Outcome"),
                "request_id": answer.headers.get("Savorybend-Request-Id"),
            }

    async def _announce(self):
        base = f"http://{self._options.daemon}/savorybend/v1/backend"
        announcement = {
            "address": self._options.listen,
        }
        while True:
            announcement["slots"] = self.announced
            try:
                if not self.draining:
                    async with self._session.put(base, json=announcement):
                        pass
                in_use = self._in_use if self.report is None else self.report
                report = {"in_use": in_use}
                async with self._session.post(f"{base}/load", json=report):
                    pass
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(_ANNOUNCE_S)

    async def drain(self):
        """Tells the daemon that no new work is wanted."""
        self.draining = True
        url = f"http://{self._options.daemon}/savorybend/v1/backend/drain"
        async with self._session.post(url):
            pass

    async def show(self, request):
        """Returns what the backend server saw."""
        return web.json_response(
            {
                "runs": self.runs,
                "cancelled": self.cancelled,
                "header_names": sorted(self.header_names),
                "secrets_seen": self.secrets_seen,
                "in_use": self._in_use,
            }
        )

    async def control(self, request):
        """Sets faults: slow, fail, fail_above, report, announced, drain.

        `fail` may be a path prefix; with `fail_above` the failure of a child
        call fails its parent.
        """
        wanted = await request.json()
        self.slow = wanted.get("slow", self.slow)
        self.fail = wanted.get("fail", self.fail)
        self.fail_above = wanted.get("fail_above", self.fail_above)
        self.report = wanted.get("report", self.report)
        self.announced = wanted.get("announced", self.announced)
        if wanted.get("drain"):
            await self.drain()
        elif "drain" in wanted:
            # The next announcement brings it back.
            self.draining = False
        return web.json_response({})


def _whole(child):
    # A child answered in part makes its parent's answer one in part, though
    # its status is 200.
    return child["status"] < 400 and child["outcome"] == "ran"


async def _digest(request):
    digest = hashlib.sha256()
    size = 0
    async for data in request.content.iter_any():
        digest.update(data)
        size += len(data)
    return digest.hexdigest(), size


def part_at(start):
    """Returns the part of a large answer that begins at a byte."""
    return start.to_bytes(8, "big") * (_CHUNK // 8)


async def _stream(request, size):
    response = web.StreamResponse()
    response.content_length = size
    await response.prepare(request)
    for start in range(0, size, _CHUNK):
        await response.write(part_at(start)[: size - start])
    await response.write_eof()
    return response


def create_app(options):
    """Returns the backend server's application."""
    backend = Backend(options)
    app = web.Application(client_max_size=2**31)
    app.on_startup.append(backend.start)
    app.on_cleanup.append(backend.stop)
    app.router.add_get("/control", backend.show)
    app.router.add_post("/control", backend.control)
    app.router.add_route("*", "/{path:.*}", backend.handle)
    return app


def main():
    """Serves until ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--daemon", required=True, help="its local address")
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--child-tries", type=int, default=1)
    parser.add_argument(
        "--child",
        action="append",
        default=[],
        help="PREFIX=METHOD:PATH, called for each call below PREFIX",
    )
    options = parser.parse_args()
    host, _, port = options.listen.rpartition(":")

    async def start():
        return create_app(options)

    web.run_app(
        start(),
        host=host,
        port=int(port),
        print=None,
        access_log=None,
        handler_cancellation=True,
    )


if __name__ == "__main__":
    main()
