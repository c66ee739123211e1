"""A small TCP proxy that cuts, delays or silences connections."""

import asyncio
import enum

_CHUNK = 65_536


class Fault(enum.Enum):
    """What the proxy does to connections."""

    NONE = "none"
    CUT = "cut"
    SILENT = "silent"
    SILENT_UP = "silent-up"
    SILENT_DOWN = "silent-down"


class Proxy:
    """Passes connections from one address to another.

    A silent direction swallows what arrives and keeps the connection open.
    `affects_new` says whether connections opened during the fault suffer too.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]):
        self._listen = listen
        self._target = target
        self._server = None
        self._links: set[_Link] = set()
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.affects_new = True

    async def start(self):
        """Takes connections."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    async def stop(self):
        """Closes everything."""
        self._server.close()
        for link in list(self._links):
            link.close()
        await asyncio.sleep(0)

    def inject(self, fault, *, affects_new=True):
        """Applies a fault to open connections, and to new ones if asked."""
        self.fault = fault
        self.affects_new = affects_new
        for link in list(self._links):
            link.fault = fault
            if fault is Fault.CUT:
                link.close()

    def heal(self):
        """Ends the fault for new connections and open ones alike."""
        self.inject(Fault.NONE)

    async def _serve(self, reader, writer):
        fault = self.fault if self.affects_new else Fault.NONE
        if fault is Fault.CUT:
            writer.transport.abort()
            return
        try:
            up = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        link = _Link(self, (reader, writer), up)
        link.fault = fault
        self._links.add(link)
        try:
            await link.run()
        finally:
            self._links.discard(link)


class _Link:
    def __init__(self, proxy, down, up):
        self._proxy = proxy
        self._down = down
        self._up = up
        self.fault = Fault.NONE

    async def run(self):
        """Passes bytes both ways until either end closes."""
        upward = asyncio.create_task(
            self._pass(self._down[0], self._up[1], Fault.SILENT_UP)
        )
        downward = asyncio.create_task(
            self._pass(self._up[0], self._down[1], Fault.SILENT_DOWN)
        )
        try:
            await asyncio.wait(
                {upward, downward}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            upward.cancel()
            downward.cancel()
            self.close()

    def close(self):
        """Breaks the connection."""
        self._down[1].transport.abort()
        self._up[1].transport.abort()

    async def _pass(self, reader, writer, silenced):
        while data := await self._read(reader):
            if self.fault in (Fault.SILENT, silenced):
                continue
            if self._proxy.delay_s:
                await asyncio.sleep(self._proxy.delay_s)
            writer.write(data)
            await writer.drain()
        if self.fault in (Fault.SILENT, silenced):
            # The end of the connection isn't passed on either.
            await asyncio.Event().wait()

    async def _read(self, reader):
        try:
            return await reader.read(_CHUNK)
        except OSError:
            return b""
