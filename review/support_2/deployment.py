"""Real daemons, as the deploy file starts them, beside stand-ins."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import tempfile
import time
import tomllib

from support_2 import http
from support_2 import server as servers
from support_2 import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "hulo84.example"
KEY = "6wsjnbanfqasnmgkcuyj"
GRACE_S = 6.0
MEMORY_MB = 300
_START_S = 20.0
_LONGEST_S = 110.0
_NETWORK = "127.84"


class CannotRunError(Exception):
    """The case couldn't be set up."""


def free_port(host: str) -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as one:
        one.bind((host, 0))
        return one.getsockname()[1]


def configuration(version: int, routes: list[dict], **limits) -> dict:
    """Returns a configuration as the operator writes it."""
    resources = [
        {
            "resourceType": "routes",
            "metadata": {"name": f"r-{number}"},
            "spec": {
                "hostname": HOST,
                "timeout": "6000ms",
                "targetLatency": "1500ms",
                "priority": 1,
                "maxAttempts": 2,
                "public": False,
                **route,
            },
        }
        for number, route in enumerate(routes)
    ]
    names = {route["service"] for route in routes}
    resources += [
        {
            "resourceType": "services",
            "metadata": {"name": name},
            "spec": {
                "healthCheckPath": "/health",
                "maxConnections": 898,
                "protocol": "h1",
                "tls": False,
            },
        }
        for name in sorted(names)
    ]
    resources.append(
        {
            "resourceType": "tenants",
            "metadata": {"name": "pulo780"},
            "spec": {"apiKeys": [KEY], "priority": 1},
        }
    )
    resources.append(
        {
            "resourceType": "limits",
            "metadata": {},
            "spec": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
                **limits,
            },
        }
    )
    return {"version": f"{version:08x}", "resources": resources}


class Machine:
    """A machine with a daemon and its server."""

    def __init__(self, place: "Deployment", number: int, service: str):
        self._place = place
        self.number = number
        self.name = f"sidecar-{number}"
        self.service = service
        self.host = f"{_NETWORK}.1.{number + 1}"
        ports = [free_port(self.host) for _ in range(6)]
        self.outbound, self.ready_port, self.control = ports[:3]
        self.inbound, self.app, self.internal = ports[3:]
        self.server = servers.Server(
            service,
            (self.host, self.app),
            (self.host, self.control),
            f"i-{number:08x}",
        )
        self.process: asyncio.subprocess.Process | None = None

    @property
    def zone(self) -> str:
        """The machine's zone."""
        return f"zone-{self.number % 2}"

    def write_settings(self) -> pathlib.Path:
        """Writes the settings file; returns its path."""
        path = self._place.folder / f"{self.name}.toml"
        path.write_text(self._settings())
        return path

    async def start_daemon(self) -> None:
        """Starts the daemon with the command of the deploy file."""
        path = self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["SAVORYBEND_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = self._place.folder / f"{self.name}.log"
        with log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self._place.command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        """Sends the daemon a signal."""
        self.process.send_signal(number)

    def log(self) -> str:
        """Returns what the daemon has logged."""
        path = self._place.folder / f"{self.name}.log"
        return path.read_text(errors="replace")

    def memory_mb(self) -> float:
        """Returns the daemon's memory in use; 0 if it has ended."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        """Returns whether the daemon answers the platform's question."""
        request = http.encode_request("GET", "/ready", {"Host": self.host})
        answer = await http.ask(self.host, self.ready_port, request, 1.0)
        return answer is not None and answer.start[1] == "200"

    async def kill(self) -> None:
        """Ends the daemon at once."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def _settings(self) -> str:
        host, store = self.host, self._place.store_address
        zones = "\n".join(
            f'{name} = "omn-north"'
            for name in sorted({one.zone for one in self._place.machines})
        )
        return f"""nodeName = "{self.name}"
role = "daemon"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{host}"
zone = "{self.zone}"
region = "omn-north"
internalPortRange = [{self.internal},{self.internal}]
seeds = []
firstStart = {str(self._place.first_start).lower()}
faultCounted = false
discovery = "local"
entry = "local"
heartbeat = "1500ms"
contracts = ["base","drain","config","cost","retry","recover","pressure",\
"tenants","quota","platform"]
bounds = ["seedLag=3s","reuseAfter=2s","stabilityWindow=3000ms","ack=4000ms",\
"catchUp=4s","drain=2000ms","grace=6s","lossSlack=200ms","configApply=2000ms",\
"rollbackSlack=250ms","maxSkew=5000ms","strictRevocation=false",\
"revoke=5000ms","retryBudgetRatio=0.2","budgetWindow=10s","budgetSlack=48",\
"quotaWindow=5s","quotaOverage=0.1","quotaSlack=20","recovery=15s"]
appAddr = "{host}:{self.app}"
service = "{self.service}"
[zones]
{zones}
[listenAddrs]
inbound = "{host}:{self.inbound}"
outbound = "{host}:{self.outbound}"
ready = "{host}:{self.ready_port}"
control = "{host}:{self.control}"
[limits]
cpuShare = 0.86
cores = 2
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[platform]
address = "{store[0]}:{store[1]}"
form = "objects"
writesPerS = 400
readsPerS = 2000
history = "20s"
valueBytes = 1048576
minTtl = "1000ms"
"""


class Deployment:
    """Machines, the store, and the record of a case."""

    def __init__(self, case: pathlib.Path):
        self._temporary = tempfile.TemporaryDirectory()
        self._case = case
        self._started_s = time.monotonic()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = stores.Store()
        host = f"{_NETWORK}.0.1"
        self.store_address = (host, free_port(host))
        self.machines: list[Machine] = []
        self.lines: list[str] = []
        self.first_start = True
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["daemon"]["run"].split()

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        at_s = time.monotonic() - self._started_s
        self.lines.append(f"{at_s:8.3f} s  {text}")

    async def start(self, services: list[str], config: dict) -> None:
        """Starts all; returns once each machine serves.

        Raises:
            CannotRunError: It doesn't in time.
        """
        await self.store.start(*self.store_address)
        await self.store.write("config", "main", config)
        self.machines = [
            Machine(self, number, service)
            for number, service in enumerate(services)
        ]
        for machine in self.machines:
            await machine.start_daemon()
            await machine.server.start()
        try:
            async with asyncio.timeout(_START_S):
                while not await self._all_known():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            raise CannotRunError("the daemons don't serve in time") from None
        self.note(f"{len(self.machines)} machines are ready")

    async def _all_known(self) -> bool:
        for machine in self.machines:
            if not await machine.is_ready():
                return False
            record = self.store.get("savorybend-daemons", machine.name)
            if record is None or record["spec"]["server_state"] != "ready":
                return False
            request = http.encode_request(
                "GET", "/metrics", {"Host": machine.host}
            )
            answer = await http.ask(
                machine.host, machine.ready_port, request, 1.0
            )
            if answer is None or _known(answer.body) < len(self.machines) - 1:
                return False
        return True

    async def stop(self) -> None:
        """Ends all, and writes the record."""
        for machine in self.machines:
            await machine.server.stop()
            await machine.kill()
        await self.store.stop()
        (self._case / "record.txt").write_text("\n".join(self.lines) + "\n")
        self._temporary.cleanup()


def _known(metrics: bytes) -> int:
    name = 'savorybend_known_daemons{state="ready"} '
    for line in metrics.decode().splitlines():
        if line.startswith(name):
            return int(float(line.rpartition(" ")[2]))
    return 0


def request_headers(request_id: str, deadline_ms: int = 6000) -> dict[str, str]:
    """Returns the headers of a client's request."""
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Api-Key": KEY,
    }


def run(case_file: str, case) -> int:
    """Runs a case; returns its exit code.

    Args:
        case_file: The case's program, in its folder.
        case: Called with the deployment and whether there is trouble; returns
            whether the rule held.
    """
    folder = pathlib.Path(case_file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> int:
        place = Deployment(folder)
        try:
            place.note(f"trouble: {trouble}")
            async with asyncio.timeout(_LONGEST_S):
                held = await case(place, trouble)
            place.note("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (CannotRunError, TimeoutError, OSError) as error:
            place.note(f"couldn't run: {error!r}")
            return 2
        finally:
            await place.stop()

    return asyncio.run(play())
