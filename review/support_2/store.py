"""Stand-in for the platform's metadata store."""

import asyncio
import json
import urllib.parse

from support_2 import http

_HISTORY = 10_000


class Store:
    """Objects by kind and name, one revision counter, and watches.

    Attributes:
        weather: Called with the caller's address, the method and the path
            before a call is handled; returns a response to answer instead, or
            None. It may wait.
        on_write: Called with kind, name, spec and the caller's address after
            a write.
    """

    def __init__(self):
        self.revision = 100
        self.weather = None
        self.on_write = None
        self.deaf = False
        self._objects: dict[str, dict[str, dict]] = {}
        self._log: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def get(self, kind: str, name: str) -> dict | None:
        """Returns an object, or None."""
        return self._objects.get(kind, {}).get(name)

    async def write(self, kind: str, name: str, spec: object) -> int:
        """Writes an object, as the operator does; returns its revision."""
        found = self.get(kind, name)
        if found is not None and found["spec"] == spec:
            return found["metadata"]["revision"]
        self.revision += 1
        one = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": 0,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": {},
        }
        self._objects.setdefault(kind, {})[name] = one
        await self._note(kind, one, False)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        one = self._objects.get(kind, {}).pop(name, None)
        if one is not None:
            self.revision += 1
            one["metadata"]["revision"] = self.revision
            await self._note(kind, one, True)

    async def _note(self, kind: str, one: dict, deleted: bool) -> None:
        self._log.append((self.revision, kind, one, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        caller = writer.get_extra_info("peername")[0]
        try:
            while (request := await http.read_message(reader)) is not None:
                method, target, *_ = request.start
                response = None
                if self.weather is not None:
                    response = await self.weather(caller, method, target)
                if response is None:
                    response = await self._answer(
                        caller, method, target, request.body
                    )
                writer.write(response)
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(
        self, caller: str, method: str, target: str, body: bytes
    ) -> bytes:
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        _, _, kind, *names = path.split("/")
        name = urllib.parse.unquote(names[0]) if names else ""
        match method:
            case "GET" if name:
                found = self.get(kind, name)
                return _json(200, found) if found else _json(404, {})
            case "GET" if "watch" in query:
                return await self._watch(kind, query)
            case "GET":
                return self._list(kind, query)
            case "POST" | "PUT":
                return await self._put(caller, kind, name, json.loads(body))
            case "DELETE":
                return await self._delete(kind, name, query)
        return _json(405, {})

    def _list(self, kind: str, query: dict[str, str]) -> bytes:
        after = query.get("after", "")
        found = self._objects.get(kind, {})
        items = [found[name] for name in sorted(found) if name > after]
        return _json(
            200,
            {
                "items": items[:500],
                "hasMore": len(items) > 500,
                "storeRevision": self.revision,
            },
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        after = int(query["watch"])
        wait_s = int(query.get("waitMs", 0)) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                while not self._since(kind, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        events = [
            {"object": one, "deleted": deleted}
            for one, deleted in self._since(kind, after)
        ]
        return _json(200, {"events": events, "storeRevision": self.revision})

    def _since(self, kind: str, after: int) -> list[tuple[dict, bool]]:
        return [
            (one, deleted)
            for revision, of, one, deleted in self._log
            if revision > after and of == kind
        ]

    async def _put(
        self, caller: str, kind: str, name: str, sent: dict
    ) -> bytes:
        metadata = sent.get("metadata", {})
        found = self.get(kind, name or metadata["name"])
        if not name and found is not None:
            return _json(409, found)
        if name and found is None:
            return _json(404, {})
        expected = metadata.get("revision")
        if found and expected not in (None, found["metadata"]["revision"]):
            return _json(409, found)
        name = name or metadata["name"]
        await self.write(kind, name, sent.get("spec"))
        if self.on_write is not None:
            self.on_write(kind, name, sent.get("spec"), caller)
        return _json(200, self.get(kind, name))

    async def _delete(
        self, kind: str, name: str, query: dict[str, str]
    ) -> bytes:
        found = self.get(kind, name)
        if found is None:
            return _json(404, {})
        expected = query.get("revision")
        if expected and int(expected) != found["metadata"]["revision"]:
            return _json(409, found)
        await self.remove(kind, name)
        return _json(200, {})


def _json(status: int, value: object) -> bytes:
    return http.encode_response(
        status,
        {"Content-Type": "application/json"},
        json.dumps(value).encode(),
    )
