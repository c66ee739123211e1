"""Callers of a fleet, and a record of what they sent and received."""

import asyncio
import dataclasses
import math
import signal
import time

import aiohttp

from tests.platform import cuttable

# A daemon is bound by what an answer says this long after it passed it on.
TOLD_DELAY_S = 0.5
STABILITY_WINDOW_S = 3.0
LIMIT_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5


@dataclasses.dataclass
class Sent:
    """A request that a caller sent.

    Attributes:
        machine: Name of the machine that it was sent to.
        path: Its path.
        sent_s: When it was sent, by the monotonic clock, in seconds.
        answered_s: When its answer was complete; infinite without one.
        status: The status; 0 without an answer.
        retry_after_s: When to come back, in seconds; None if not told.
        instance: The backend server that answered; empty if none did.
    """

    machine: str
    path: str
    sent_s: float
    answered_s: float = math.inf
    status: int = 0
    retry_after_s: float | None = None
    instance: str = ""

    @property
    def took_s(self):
        """Time from sending to the answer, in seconds."""
        return self.answered_s - self.sent_s


class Callers:
    """Sends calls at a steady rate, whatever became of those before."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = {}
        self._ended_s = {}
        self._tasks = set()

    async def run(self, for_s, rate_per_s, machines=None, paths=("/reads/x",)):
        """Sends calls for some time, to machines and paths in turn."""
        machines = machines or self.fleet.machines
        start_s = time.monotonic()
        for number in range(int(for_s * rate_per_s)):
            wait_s = start_s + number / rate_per_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            machine = machines[number % len(machines)]
            path = paths[number // len(machines) % len(paths)]
            task = asyncio.create_task(self._send(machine, path))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self):
        """Waits until each call has its answer or failed."""
        await asyncio.gather(*self._tasks)

    async def restart(self, machine):
        """Kills a daemon and starts it; returns once it is ready."""
        self._note_disturbed(machine)
        machine.signal(signal.SIGKILL)
        await machine.ended()
        await machine.start_daemon()
        await self.fleet.until(machine.ready)
        self._note_disturbed(machine)

    async def freeze(self, machine, for_s):
        """Stops a daemon for some time without ending it."""
        self._note_disturbed(machine)
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        machine.signal(signal.SIGCONT)
        self._note_disturbed(machine)

    async def cut_off(self, machine, for_s):
        """Cuts a daemon off from all others for some time.

        The others haven't to be told again: only the requests that began at
        this machine are excused.
        """
        others = [one for one in self.fleet.machines if one is not machine]
        self._note_disturbed(machine)
        cuttable.cut_of(machine).set(others)
        for other in others:
            cuttable.cut_of(other).set([machine])
        await asyncio.sleep(for_s)
        for one in self.fleet.machines:
            cuttable.cut_of(one).set([])
        self._note_disturbed(machine)

    def _note_disturbed(self, machine):
        """Notes that a daemon restarted or froze: it has to be told again."""
        self._ended_s.setdefault(machine.name, []).append(time.monotonic())

    def since(self, start_s):
        """Returns the requests that were sent since a time."""
        return [one for one in self.sent.values() if one.sent_s >= start_s]

    def most_in_window(self, instance, named_s, until_s=math.inf):
        """Returns the most requests that a server got in a window.

        Only those count that began at a daemon which had passed on an answer
        of the server since `named_s`.

        Args:
            instance: ID of the server.
            named_s: When it first named the limit.
            until_s: When it last named it.
        """
        told = self._told_spans(instance, named_s)
        times = [
            arrival.at_s
            for arrival in self._arrivals(instance)
            if named_s + STABILITY_WINDOW_S <= arrival.at_s < until_s
            and _bound(told, self._machine(arrival), arrival.at_s)
        ]
        return max(
            (
                sum(1 for one in times if 0 <= one - start_s < LIMIT_WINDOW_S)
                for start_s in times
            ),
            default=0,
        )

    def arrived_later_than(self, instance, drain_s, named_s):
        """Returns requests that a server got though it had said it leaves.

        Those count that were sent later than `drain_s` after their daemon had
        passed on an answer of the server since `named_s`.
        """
        told = self._told_spans(instance, named_s, drain_s)
        return [
            arrival.request_id
            for arrival in self._arrivals(instance)
            if self._was_sent_within(told, arrival)
        ]

    def _arrivals(self, instance):
        return [
            arrival
            for machine in self.fleet.machines
            for arrival in machine.worker.arrivals
            if arrival.instance == instance
        ]

    def _told_spans(self, instance, named_s, delay_s=TOLD_DELAY_S):
        """Returns when each daemon was bound by what a server had said."""
        spans = {}
        for one in self.sent.values():
            if one.instance != instance or one.sent_s < named_s:
                continue
            ends = self._ended_s.get(one.machine, [])
            until_s = min(
                (end_s for end_s in ends if end_s >= one.answered_s),
                default=math.inf,
            )
            known = spans.setdefault(one.machine, {})
            known[until_s] = min(
                known.get(until_s, math.inf), one.answered_s + delay_s
            )
        return spans

    def _was_sent_within(self, told, arrival):
        one = self.sent.get(arrival.request_id)
        return one is not None and _bound(told, one.machine, one.sent_s)

    def _machine(self, arrival):
        one = self.sent.get(arrival.request_id)
        return one.machine if one else ""

    async def _send(self, machine, path):
        request_id = f"c-{len(self.sent)}"
        sent = Sent(machine.name, path, time.monotonic())
        self.sent[request_id] = sent
        try:
            status, headers, body = await self.fleet.call(
                machine, path, request_id
            )
        except (OSError, aiohttp.ClientError):
            return
        sent.answered_s = time.monotonic()
        sent.status = status
        if "Retry-After" in headers:
            sent.retry_after_s = float(headers["Retry-After"])
        if "Response-Signature" in headers:
            sent.instance = body.split()[0].decode()


def allowed_in_window(rate_per_s):
    """Returns the most requests that a server may get in a window."""
    return rate_per_s * LIMIT_WINDOW_S * _LIMIT_FACTOR + _LIMIT_SLACK


def _bound(told, machine, at_s):
    return any(
        from_s <= at_s < until_s
        for until_s, from_s in told.get(machine, {}).items()
    )
