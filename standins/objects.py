"""Stand-in for the users' platform's store: its published semantics.

Objects of any kind with revisions, pages, watches, forgotten history and
finalizers, and the troubles that the store may have.
"""

import argparse
import asyncio
import copy
import dataclasses
import enum
import json

from aiohttp import web

_PAGE = 500


class Trouble(enum.Enum):
    """How the store misbehaves."""

    NONE = "none"
    BUSY = "busy"  # 503, nothing is done.
    MANY = "many"  # 429, nothing is done.
    RESET = "reset"  # The connection is reset, nothing is done.
    # Nothing comes back, nothing is done, and waiting watches get no answer.
    SILENT = "silent"
    LOST = "lost"  # Writes are done, and their answers are lost.


@dataclasses.dataclass
class Stored:
    """An object.

    Attributes:
        raw: The object as it is sent, for what another writer left, with
            `REVISION` in place of its revision; None to send its fields.
    """

    name: str
    revision: int
    created: int
    spec: object = None
    status: object = None
    finalizers: list = dataclasses.field(default_factory=list)
    deleting: bool = False
    raw: bytes | None = None

    def text(self):
        """Returns the bytes that are sent."""
        if self.raw is not None:
            return self.raw.replace(b"REVISION", b"%d" % self.revision)
        return json.dumps(self.wire()).encode()

    def wire(self):
        """Returns it as it is sent."""
        return {
            "metadata": {
                "name": self.name,
                "revision": self.revision,
                "created": self.created,
                "finalizers": self.finalizers,
                "deleting": self.deleting,
            },
            "spec": self.spec,
            "status": self.status,
        }


class Store:
    """Objects by kind and name, and what changed.

    Attributes:
        trouble: How it misbehaves now.
        troubles: How it misbehaves at single addresses, by host.
        calls: Calls so far, by method.
    """

    def __init__(self):
        self.trouble = Trouble.NONE
        self.troubles = {}
        self.calls = {}
        self.page = _PAGE
        self.era = 1
        self._revision = 1
        self._oldest = 0
        self._kinds = {}
        self._events = []
        self._changed = asyncio.Condition()
        self._copy = None

    @property
    def revision(self):
        """The revision of the last change."""
        return self._revision

    def trouble_at(self, host):
        """Returns how the store misbehaves at an address."""
        return self.troubles.get(host, self.trouble)

    def get(self, kind, name):
        """Returns an object, or None."""
        return self._kinds.get(kind, {}).get(name)

    def list(self, kind, after):
        """Returns a page of objects after a name, and whether more follow."""
        names = sorted(n for n in self._kinds.get(kind, {}) if n > after)
        found = [self._kinds[kind][name] for name in names[: self.page]]
        return found, len(names) > self.page

    def forget(self):
        """Drops the history of changes."""
        self._oldest = self._revision
        self._events.clear()

    def knows(self, revision):
        """Returns whether all changes since a revision are known."""
        return self._oldest <= revision <= self._revision

    def take_copy(self):
        """Keeps a copy of all objects, for `return_to_copy`."""
        self._copy = copy.deepcopy((self._revision, self._kinds, self._events))

    async def return_to_copy(self):
        """Comes back from the copy: what was written since is lost."""
        self._revision, self._kinds, self._events = copy.deepcopy(self._copy)
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    def events(self, kind, after):
        """Returns what changed in a kind since a revision, as it is sent."""
        return [
            b'{"object":%s,"deleted":%s}' % (text, json.dumps(deleted).encode())
            for revision, of, text, deleted in self._events
            if of == kind and revision > after
        ]

    async def write(self, kind, found, deleted=False):
        """Keeps a changed object, and wakes those who watch."""
        self._revision += 1
        found.revision = self._revision
        objects = self._kinds.setdefault(kind, {})
        if deleted:
            objects.pop(found.name, None)
        else:
            objects[found.name] = found
        event = (self._revision, kind, found.text(), deleted)
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def wait(self, kind, after, wait_s):
        """Returns the first changes after a revision, or none in time."""
        try:
            async with asyncio.timeout(wait_s), self._changed:
                era = self.era
                while not self.events(kind, after) and self.knows(after):
                    await self._changed.wait()
                    if self.era != era:
                        break
        except TimeoutError:
            pass
        return self.events(kind, after)


def create_app(store):
    """Returns the store's API, and a page that makes trouble."""

    @web.middleware
    async def misbehave(request, handler):
        if request.path.startswith("/control"):
            return await handler(request)
        store.calls[request.method] = store.calls.get(request.method, 0) + 1
        host = request.transport.get_extra_info("sockname")[0]
        trouble = store.trouble_at(host)
        match trouble:
            case Trouble.BUSY:
                return _refuse(store, 503)
            case Trouble.MANY:
                return _refuse(store, 429)
            case Trouble.RESET:
                request.transport.abort()
                return web.Response(status=503)
            case Trouble.SILENT:
                await asyncio.sleep(3600)
        response = await handler(request)
        if store.trouble_at(host) is Trouble.SILENT:
            await asyncio.sleep(3600)
        response.headers["Store-Era"] = str(store.era)
        if trouble is Trouble.LOST and request.method != "GET":
            request.transport.abort()
        return response

    app = web.Application(middlewares=[misbehave], client_max_size=2**21)
    app.router.add_get("/objects/{kind}", _lister(store))
    app.router.add_post("/objects/{kind}", _creator(store))
    app.router.add_get("/objects/{kind}/{name}", _getter(store))
    app.router.add_put("/objects/{kind}/{name}", _replacer(store))
    app.router.add_put("/objects/{kind}/{name}/status", _replacer(store, True))
    app.router.add_delete("/objects/{kind}/{name}", _deleter(store))
    app.router.add_post("/control", _controller(store))
    return app


def _refuse(store, status):
    return web.Response(status=status, headers={"Store-Era": str(store.era)})


def _answer(text, status=200):
    return web.Response(
        body=text, status=status, content_type="application/json"
    )


def _lister(store):
    async def handle(request):
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await _watch(store, kind, request.query)
        found, more = store.list(kind, request.query.get("after", ""))
        return _answer(
            b'{"items":[%s],"hasMore":%s,"storeRevision":%d}'
            % (
                b",".join(one.text() for one in found),
                json.dumps(more).encode(),
                store.revision,
            )
        )

    return handle


async def _watch(store, kind, query):
    after = int(query["watch"])
    events = await store.wait(kind, after, int(query["waitMs"]) / 1000)
    if not store.knows(after):
        return web.Response(status=410)
    return _answer(
        b'{"events":[%s],"storeRevision":%d}'
        % (b",".join(events), store.revision)
    )


def _creator(store):
    async def handle(request):
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        found = store.get(kind, name)
        if found is not None:
            return _answer(found.text(), 409)
        created = Stored(name, 0, store.revision + 1, body.get("spec"))
        created.finalizers = body["metadata"].get("finalizers", [])
        await store.write(kind, created)
        return _answer(created.text())

    return handle


def _getter(store):
    async def handle(request):
        info = request.match_info
        found = store.get(info["kind"], info["name"])
        if found is None:
            return web.Response(status=404)
        return _answer(found.text())

    return handle


def _replacer(store, status=False):
    async def handle(request):
        kind, name = request.match_info["kind"], request.match_info["name"]
        body = await request.json()
        found = store.get(kind, name)
        if found is None:
            return web.Response(status=404)
        expected = body.get("metadata", {}).get("revision")
        if expected is not None and expected != found.revision:
            return _answer(found.text(), 409)
        before = found.text()
        found.raw = None
        if status:
            found.status = body.get("status")
        else:
            found.spec = body.get("spec")
            given = body.get("metadata", {}).get("finalizers")
            found.finalizers = found.finalizers if given is None else given
        if found.deleting and not found.finalizers:
            await store.write(kind, found, deleted=True)
        elif found.text() != before:
            await store.write(kind, found)
        return _answer(found.text())

    return handle


def _deleter(store):
    async def handle(request):
        kind, name = request.match_info["kind"], request.match_info["name"]
        found = store.get(kind, name)
        if found is None:
            return web.Response(status=404)
        expected = request.query.get("revision")
        if expected is not None and int(expected) != found.revision:
            return _answer(found.text(), 409)
        if found.finalizers:
            found.deleting = True
            await store.write(kind, found)
        else:
            await store.write(kind, found, deleted=True)
        return _answer(found.text())

    return handle


def _controller(store):
    async def handle(request):
        wanted = await request.json()
        store.trouble = Trouble(wanted.get("trouble", "none"))
        if wanted.get("forget"):
            store.forget()
        if wanted.get("copy"):
            store.take_copy()
        if wanted.get("return"):
            await store.return_to_copy()
        return web.json_response({})

    return handle


def main():
    """Serves until ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    host, _, port = parser.parse_args().listen.rpartition(":")
    web.run_app(create_app(Store()), host=host, port=int(port), print=None)


if __name__ == "__main__":
    main()
