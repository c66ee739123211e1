"""Stand-in for the platform: objects, versions, updates, watches, outages."""

import argparse
import asyncio
import collections

from aiohttp import web

_UP = "up"
_DOWN = "down"
_SLOW = "slow"
_REPLY_LOST = "reply-lost"
_SILENT = "silent"


class Store:
    """Objects by kind and name, and the log of changes."""

    def __init__(self):
        self.version = 0
        self.mode = _UP
        self.delay_s = 0.0
        self.calls = collections.Counter()
        self._objects = collections.defaultdict(dict)
        self._deleted = collections.defaultdict(dict)
        self._changed = asyncio.Condition()

    def get(self, kind, name):
        """Returns (version, value), or None."""
        return self._objects[kind].get(name)

    async def put(self, kind, name, value):
        """Writes an object; returns its version."""
        self.version += 1
        self._objects[kind][name] = (self.version, value)
        self._deleted[kind].pop(name, None)
        await self._tell()
        return self.version

    async def delete(self, kind, name):
        """Deletes an object; returns whether it was there."""
        if self._objects[kind].pop(name, None) is None:
            return False
        self.version += 1
        self._deleted[kind][name] = self.version
        await self._tell()
        return True

    def changes(self, kind, after):
        """Returns a listing of what changed after a version."""
        objects = [
            {"name": name, "version": version, "value": value}
            for name, (version, value) in self._objects[kind].items()
            if version > after
        ]
        deleted = [
            name
            for name, version in self._deleted[kind].items()
            if version > after
        ]
        return {
            "version": self.version,
            "objects": objects,
            "deleted": deleted,
        }

    async def wait(self, kind, after, wait_s):
        """Returns the first changes after a version, or none in time."""
        try:
            async with asyncio.timeout(wait_s), self._changed:
                while True:
                    found = self.changes(kind, after)
                    if found["objects"] or found["deleted"]:
                        return found
                    await self._changed.wait()
        except TimeoutError:
            return self.changes(kind, after)

    async def _tell(self):
        async with self._changed:
            self._changed.notify_all()


def create_app(store):
    """Returns the object API over a store, and its control page."""

    @web.middleware
    async def weather(request, handler):
        if request.path.startswith("/control"):
            return await handler(request)
        store.calls[request.method] += 1
        if store.mode == _SILENT:
            await asyncio.sleep(3600)
        if store.mode == _DOWN:
            return web.Response(status=503)
        if store.mode == _SLOW:
            await asyncio.sleep(store.delay_s)
        response = await handler(request)
        if store.mode == _DOWN:
            # An outage ends the watches that wait.
            return web.Response(status=503)
        if store.mode == _REPLY_LOST and request.method in ("PUT", "DELETE"):
            request.transport.abort()
        return response

    app = web.Application(middlewares=[weather], client_max_size=2**21)
    path = "/v1/objects/{kind}/{name}"
    app.router.add_get("/v1/objects/{kind}", _lister(store))
    app.router.add_get(path, _getter(store))
    app.router.add_put(path, _putter(store))
    app.router.add_delete(path, _deleter(store))
    app.router.add_get("/control", _reporter(store))
    app.router.add_post("/control", _controller(store))
    return app


def _lister(store):
    async def handle(request):
        kind = request.match_info["kind"]
        if "after" not in request.query:
            return web.json_response(store.changes(kind, 0))
        after = int(request.query["after"])
        wait_s = float(request.query.get("wait_s", 0))
        return web.json_response(await store.wait(kind, after, wait_s))

    return handle


def _getter(store):
    async def handle(request):
        name = request.match_info["name"]
        found = store.get(request.match_info["kind"], name)
        if found is None:
            return web.Response(status=404)
        version, value = found
        body = {"name": name, "version": version, "value": value}
        return web.json_response(body)

    return handle


def _putter(store):
    async def handle(request):
        kind, name = request.match_info["kind"], request.match_info["name"]
        value = await request.text()
        found = store.get(kind, name)
        current = found[0] if found else 0
        expected = request.headers.get("If-Match", "").strip('"')
        if request.headers.get("If-None-Match") == "*":
            expected = "0"
        if expected and int(expected) != current:
            return web.Response(status=412)
        version = await store.put(kind, name, value)
        return web.json_response({"version": version})

    return handle


def _deleter(store):
    async def handle(request):
        kind, name = request.match_info["kind"], request.match_info["name"]
        found = store.get(kind, name)
        expected = request.headers.get("If-Match", "").strip('"')
        if found and expected and int(expected) != found[0]:
            return web.Response(status=412)
        there = await store.delete(kind, name)
        return web.Response(status=200 if there else 404)

    return handle


def _reporter(store):
    async def handle(request):
        return web.json_response(
            {
                "version": store.version,
                "mode": store.mode,
                "calls": dict(store.calls),
            }
        )

    return handle


def _controller(store):
    async def handle(request):
        wanted = await request.json()
        store.mode = wanted["mode"]
        store.delay_s = wanted.get("delay_s", 0.0)
        return web.json_response({})

    return handle


def main():
    """Serves until ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    host, _, port = parser.parse_args().listen.rpartition(":")

    async def start():
        return create_app(Store())

    web.run_app(start(), host=host, port=int(port), print=None, access_log=None)


if __name__ == "__main__":
    main()
