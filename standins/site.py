"""Starts a site's processes on loopback: platform, daemons, backend servers."""

import asyncio
import collections
import contextlib
import itertools
import os
import pathlib
import secrets
import signal
import sys
import tempfile
import typing

import aiohttp

from standins import proxy as proxies

FLEET_SECRET = "a-fleet-secret-for-tests"
ADMIN_KEY = "an-admin-key-for-tests"

_FIRST_PORT = 7000
_READY_S = 30.0
_POLL_S = 0.05


class Worker(typing.NamedTuple):
    """A backend server VM: its daemon and its backend server.

    Attributes:
        name: The daemon's name.
        data_centre: Its data centre.
        service: The backend server's service.
        slots: The backend server's slots.
        work_ms: The backend server's time for a call, in milliseconds.
        children: What it calls: `PREFIX=METHOD:PATH`.
        child_tries: How often it tries each child call.
        cold_s: How long after its start it is slow, in seconds.
    """

    name: str
    data_centre: str
    service: str
    slots: int = 16
    work_ms: float = 2.0
    children: tuple[str, ...] = ()
    child_tries: int = 1
    cold_s: float = 0.0


class Addresses(typing.NamedTuple):
    """Where a worker's processes listen."""

    call: str
    local: str
    peer: str
    admin: str
    backend: str


class AddressBook:
    """Hands out loopback addresses that no other site uses.

    Each site has an IP number of its own in 127.0.0.0/8, so that sites which
    run at the same time, and ports of outgoing connections, never clash.
    """

    def __init__(self):
        parts = (1 + secrets.randbelow(250) for _ in range(3))
        self.host = "127." + ".".join(str(part) for part in parts)
        self._ports = itertools.count(_FIRST_PORT)

    def next(self) -> str:
        """Returns an address that nothing listens on."""
        return f"{self.host}:{next(self._ports)}"


class Site:
    """Processes of a site, ended by their IDs."""

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._settings: dict[str, dict[str, str]] = {}
        self.book = AddressBook()
        self.platform = self.book.next()
        self.workers: dict[str, Worker] = {}
        self.addresses: dict[str, Addresses] = {}
        # The proxies between peers and the daemons added `proxied`.
        self.proxies: dict[str, proxies.Proxy] = {}
        self._admin_proxies: dict[str, proxies.Proxy] = {}
        self._all_proxies: list[proxies.Proxy] = []
        self.session: aiohttp.ClientSession | None = None

    async def start_platform(self):
        """Starts the stand-in for the platform."""
        await self._start(
            "platform", "standins.platform", "--listen", self.platform
        )
        await self._wait_for(self.platform, "/control")

    async def add(self, workers, proxied=False, backends=True, **settings: str):
        """Starts workers, and waits until their daemons listen.

        Args:
            workers: What to start.
            proxied: Whether peers reach each daemon through proxies, which
                `cut` and `heal` control.
            backends: Whether to start the backend servers too.
            settings: Environment variables of the daemons, by the part of
                their names after SAVORYBEND_.
        """
        for worker in workers:
            self.workers[worker.name] = worker
            self.addresses[worker.name] = Addresses(
                *(self.book.next() for _ in Addresses._fields)
            )
            self._settings[worker.name] = dict(settings)
            if proxied:
                await self._announce_proxies(worker.name)
            await self.start_daemon(worker.name)
            if backends:
                await self.start_backend(worker.name)
        for worker in workers:
            await self.wait_listening(worker.name)

    async def start_daemon(self, name):
        """Starts a worker's daemon, again if it has ended."""
        worker, at = self.workers[name], self.addresses[name]
        settings = {
            "NAME": name,
            "DATA_CENTRE": worker.data_centre,
            "SERVICE": worker.service,
            "CALL_ADDRESS": at.call,
            "LOCAL_ADDRESS": at.local,
            "PEER_ADDRESS": at.peer,
            "ADMIN_ADDRESS": at.admin,
            "PLATFORM_URL": f"http://{self.platform}",
            "FLEET_SECRET": FLEET_SECRET,
            "ADMIN_KEY": ADMIN_KEY,
            **self._settings[name],
        }
        environment = {f"SAVORYBEND_{k}": v for k, v in settings.items()}
        await self._start(name, "savorybend.daemon", **environment)

    async def start_backend(self, name):
        """Starts a worker's backend server, again if it has ended."""
        worker, at = self.workers[name], self.addresses[name]
        options = ["--listen", at.backend, "--daemon", at.local]
        options += ["--service", worker.service]
        options += ["--slots", str(worker.slots)]
        options += ["--work-ms", str(worker.work_ms)]
        options += ["--child-tries", str(worker.child_tries)]
        options += ["--cold-s", str(worker.cold_s)]
        for child in worker.children:
            options += ["--child", child]
        await self._start(backend_of(name), "standins.backend", *options)

    async def wait_listening(self, name):
        """Waits until a daemon listens."""
        await self._wait_for(self.addresses[name].admin, "/live")

    async def wait_ready(self, version=1):
        """Waits until every daemon has a configuration and all members."""
        async with asyncio.timeout(_READY_S):
            for name in self.workers:
                while not await self._is_ready(name, version):
                    await asyncio.sleep(_POLL_S)

    async def _is_ready(self, name, version):
        status = await self.ask(name, "status")
        daemons = await self.ask(name, "daemons")
        return (
            status["configuration_version"] >= version
            and status["backend_server"] == "ready"
            and len(daemons) >= len(self.workers)
        )

    async def ask(self, name, page, **query):
        """Returns a page of a daemon's admin address."""
        url = f"http://{self.addresses[name].admin}/v1/{page}"
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        async with self.session.get(
            url, headers=headers, params=query
        ) as answer:
            return await answer.json()

    async def record(self, name):
        """Returns what a worker's backend server saw."""
        url = f"http://{self.addresses[name].backend}/control"
        async with self.session.get(url) as answer:
            return await answer.json()

    def effects(self):
        """Counts the effects of non-GET calls, whoever was killed since."""
        found = collections.Counter()
        for name in self.workers:
            for line in self.log(backend_of(name)).splitlines():
                if line.startswith("effect "):
                    found[line.removeprefix("effect ")] += 1
        return found

    async def put_proxy(self, target):
        """Starts a proxy in front of an address; returns it and its own."""
        address = self.book.next()
        proxy = proxies.Proxy(_split(address), _split(target))
        await proxy.start()
        self._all_proxies.append(proxy)
        return proxy, address

    async def _announce_proxies(self, name):
        at = self.addresses[name]
        announced = self._settings[name]
        proxy, address = await self.put_proxy(at.peer)
        self.proxies[name] = proxy
        announced["ANNOUNCED_PEER_ADDRESS"] = address
        proxy, address = await self.put_proxy(at.admin)
        self._admin_proxies[name] = proxy
        announced["ANNOUNCED_ADMIN_ADDRESS"] = address

    def cut(self, name):
        """Cuts the ways to a daemon that was added `proxied`."""
        self.proxies[name].inject(proxies.Fault.CUT)
        self._admin_proxies[name].inject(proxies.Fault.CUT)

    def heal(self, name):
        """Ends what `cut` began."""
        self.proxies[name].heal()
        self._admin_proxies[name].heal()

    async def control(self, name, **faults):
        """Sets faults of a worker's backend server."""
        url = f"http://{self.addresses[name].backend}/control"
        async with self.session.post(url, json=faults):
            pass

    async def control_platform(self, mode, delay_s=0.0):
        """Sets the platform's mode."""
        url = f"http://{self.platform}/control"
        wanted = {"mode": mode, "delay_s": delay_s}
        async with self.session.post(url, json=wanted):
            pass

    async def ctl(self, *arguments, stdin=None):
        """Runs savorybendctl; returns (exit code, output)."""
        first = next(iter(self.addresses.values()), None)
        environment = {
            **os.environ,
            "SAVORYBEND_PLATFORM_URL": f"http://{self.platform}",
            "SAVORYBEND_ADMIN_KEY": ADMIN_KEY,
        }
        if first is not None:
            environment["SAVORYBEND_DAEMON"] = first.admin
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "savorybend.ctl",
            *arguments,
            env=environment,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate(stdin)
        return process.returncode, output.decode()

    def pid(self, name):
        """Returns the ID of a process."""
        return self._processes[name].pid

    def ended(self, name):
        """Returns whether a process has ended."""
        return self._processes[name].returncode is not None

    def kill(self, name):
        """Ends a process at once."""
        self._processes[name].kill()

    def freeze(self, name):
        """Stops a process without ending it."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Lets a frozen process go on."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name):
        """Asks a process for a graceful shutdown."""
        self._processes[name].terminate()

    async def wait_ended(self, name):
        """Waits for a process's end; returns its exit code."""
        return await self._processes[name].wait()

    def log(self, name):
        """Returns what a process wrote."""
        return (self._folder / f"{name}.log").read_text()

    async def stop(self):
        """Ends every process that this site started."""
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            await process.wait()
        for proxy in self._all_proxies:
            await proxy.stop()

    async def _start(self, name, module, *arguments, **environment):
        path = self._folder / f"{name}.log"
        with path.open("ab") as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                env={**os.environ, **environment},
                stdout=log,
                stderr=log,
            )

    async def _wait_for(self, address, path):
        async with asyncio.timeout(_READY_S):
            while True:
                try:
                    async with self.session.get(f"http://{address}{path}"):
                        return
                except aiohttp.ClientError:
                    await asyncio.sleep(_POLL_S)


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def backend_of(name: str) -> str:
    """Returns the name of a worker's backend server process."""
    return f"{name}-backend"


@contextlib.asynccontextmanager
async def create_site():
    """Yields a site with a platform; ends everything afterwards."""
    with tempfile.TemporaryDirectory(prefix="savorybend-") as folder:
        site = Site(pathlib.Path(folder))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            site.session = session
            try:
                await site.start_platform()
                yield site
            finally:
                await site.stop()
