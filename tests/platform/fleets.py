"""Real daemons on loopback, with stand-ins for the platform's components."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

import aiohttp
from aiohttp import web

from standins import objects as standin_store
from standins import worker as standin_worker

_ROOT = pathlib.Path(__file__).parent.parent.parent
_START_S = 10.0
# FLEETS_BASE_PORT lets several runs stand beside each other.
_BASE_PORT = int(os.environ.get("FLEETS_BASE_PORT", "21000"))

ROUTES = {
    "reads": {"pathPrefix": "/reads/", "type": "idempotent", "priority": 1},
    "posts": {"pathPrefix": "/posts/", "type": "non_idempotent", "priority": 0},
    "open": {
        "pathPrefix": "/open/",
        "type": "idempotent",
        "priority": 2,
        "public": True,
    },
}
KEY = "key-of-maruyama"
HOST = "shop.example"


def configuration(
    version=1, rate_per_s=1000, keys=(KEY,), routes=None, body_bytes=1 << 20
):
    """Returns a configuration in the operator's format."""
    resources = [
        {
            "resourceType": "routes",
            "metadata": {"name": name},
            "spec": {
                "hostname": HOST,
                "timeout": "3000ms",
                "targetLatency": "1000ms",
                "service": "ledger",
                "maxAttempts": 2,
                "public": False,
                **spec,
            },
        }
        for name, spec in (routes or ROUTES).items()
    ]
    resources.append(
        {
            "resourceType": "tenants",
            "metadata": {"name": "maruyama"},
            "spec": {
                "apiKeys": list(keys),
                "priority": 1,
                "ratePerS": rate_per_s,
                "burst": rate_per_s,
            },
        }
    )
    resources.append(
        {
            "resourceType": "limits",
            "metadata": {},
            "spec": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": body_bytes,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
        }
    )
    return {"version": f"{version:08x}", "resources": resources}


class Machine:
    """A VM with a daemon and its backend server."""

    def __init__(self, fleet, number, service, data_centre):
        self.name = f"vm-{number}"
        self.service = service
        self.host = f"127.0.20.{number + 1}"
        self.base = fleet.base_port
        self.store_host = f"127.0.21.{number + 1}"
        self.worker = fleet.create_worker(
            service,
            f"{self.host}:{self.base + 4}",
            f"{self.host}:{self.base + 3}",
            instance=f"i-{number}",
        )
        self._fleet = fleet
        self._data_centre = data_centre
        self._process = None
        self._log = None

    @property
    def url(self):
        """URL at which callers on this VM connect."""
        return f"http://{self.host}:{self.base}"

    @property
    def folder(self):
        """Folder of the fleet's files."""
        return self._fleet.folder

    @property
    def process(self):
        """The daemon's process."""
        return self._process

    def log(self):
        """Returns the daemon's log."""
        return self._log.read_text()

    async def start(self):
        """Starts the daemon and its backend server."""
        await self.start_daemon()
        await self.worker.start()

    async def start_daemon(self):
        """Starts the daemon."""
        path = self._fleet.folder / f"{self.name}.toml"
        path.write_text(self._settings())
        self._log = self._fleet.folder / f"{self.name}.log"
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._fleet.command(self.name),
                str(_ROOT / "src" / "savorybend_platform.py"),
                env={**os.environ, "SAVORYBEND_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Sends the daemon a signal."""
        self._process.send_signal(number)

    async def ended(self):
        """Waits until the daemon exits; returns its exit code."""
        return await self._process.wait()

    async def stop(self):
        """Kills the daemon and stops the backend server."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
        with contextlib.suppress(Exception):
            await self.worker.stop()

    async def ready(self):
        """Returns whether the daemon reports that it is ready."""
        url = f"http://{self.host}:{self.base + 2}/ready"
        try:
            async with self._fleet.session.get(url) as response:
                return response.status == 200
        except OSError:
            return False

    async def metric(self, name):
        """Returns a metric of the daemon; 0 without it, or without answer."""
        url = f"http://{self.host}:{self.base + 2}/metrics"
        try:
            async with self._fleet.session.get(url) as response:
                text = await response.text()
        except (OSError, aiohttp.ClientError):
            return 0.0
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.rpartition(" ")[2])
        return 0.0

    def _settings(self):
        base, host = self.base, self.host
        return f"""
nodeName = "{self.name}"
ip = "{host}"
zone = "{self._data_centre}"
internalPortRange = [{base + 5}, {base + 5}]
heartbeat = "300ms"
bounds = ["grace=4s", "drain=2000ms", "quotaSlack=0"]
appAddr = "{host}:{base + 4}"
service = "{self.service}"
[limits]
memoryMb = {self._fleet.memory_mb}
[listenAddrs]
outbound = "{host}:{base}"
ready = "{host}:{base + 2}"
control = "{host}:{base + 3}"
[platform]
address = "{self.store_host}:{base}"
"""


class Fleet:
    """Machines, the store, and a caller.

    Attributes:
        memory_mb: Memory that each daemon may use.
    """

    def __init__(
        self, folder, base_port, command, create_worker, memory_mb=256
    ):
        self.folder = folder
        self.base_port = base_port
        self.create_worker = create_worker
        self.store = standin_store.Store()
        self.machines = []
        self.session = None
        self.memory_mb = memory_mb
        self.command = command or (lambda name: [sys.executable])
        self._runner = None

    async def submit(self, **changes):
        """Writes a configuration to the store, as the operator does."""
        found = self.store.get("config", "main")
        if found is None:
            found = standin_store.Stored("main", 0, 0)
        found.spec = configuration(**changes)
        await self.store.write("config", found)

    async def start(self, services, data_centres):
        """Starts a machine for each service; waits until all serve calls."""
        app = standin_store.create_app(self.store)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        for number in range(len(services)):
            await self._open_store(number)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        await self.submit()
        for number, service in enumerate(services):
            data_centre = f"dc-{number % data_centres}"
            machine = Machine(self, number, service, data_centre)
            self.machines.append(machine)
            await machine.start()
        await self.until(self._all_serve)

    async def add(self, service, data_centre="dc-0"):
        """Starts a further machine; returns it."""
        number = len(self.machines)
        await self._open_store(number)
        machine = Machine(self, number, service, data_centre)
        self.machines.append(machine)
        await machine.start()
        return machine

    async def _open_store(self, number):
        host = f"127.0.21.{number + 1}"
        await web.TCPSite(self._runner, host, self.base_port).start()

    async def stop(self):
        """Stops all machines and the store."""
        for machine in self.machines:
            await machine.stop()
        await self.session.close()
        await self._runner.cleanup()

    async def until(self, condition):
        """Waits for a condition; raises TimeoutError after `_START_S`."""
        async with asyncio.timeout(_START_S):
            while not await condition():
                await asyncio.sleep(0.05)

    async def call(self, machine, path, request_id="r-1", method="GET", **more):
        """Sends a call; returns its status, headers and body."""
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "3000",
            "Api-Key": KEY,
            **more.pop("headers", {}),
        }
        async with self.session.request(
            method, machine.url + path, headers=headers, **more
        ) as response:
            return response.status, response.headers, await response.read()

    async def _all_serve(self):
        for machine in self.machines:
            try:
                if not await machine.ready():
                    return False
                status, _, _ = await self.call(machine, "/open/x", "first")
            except (OSError, aiohttp.ClientError):
                return False
            if status != 200:
                return False
        others = len(self.machines) - 1
        for machine in self.machines:
            known = await machine.metric(
                'savorybend_known_daemons{state="ready"}'
            )
            if known != others:
                return False
        records = self.store.list("savorybend-daemons", "")[0]
        ready = [r for r in records if r.spec["statement"]["state"] == "ready"]
        return len(ready) == len(self.machines)


@contextlib.asynccontextmanager
async def running(
    folder,
    services,
    base_port=_BASE_PORT,
    command=None,
    data_centres=2,
    create_worker=standin_worker.Worker,
    memory_mb=256,
):
    """Runs a fleet with a machine for each service."""
    fleet = Fleet(folder, base_port, command, create_worker, memory_mb)
    try:
        await fleet.start(services, data_centres)
        yield fleet
    finally:
        await fleet.stop()


def seen_headers(fleet, request_id):
    """Returns the headers of a request as a backend server received them."""
    for machine in fleet.machines:
        if request_id in machine.worker.seen:
            return machine.worker.seen[request_id]
    return None
