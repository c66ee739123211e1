"""Tests that reported outcomes are true under random requests and faults.

Set SAVORYBEND_SCHEDULE_SEED to a seed printed by a run to replay it.
"""

import asyncio
import collections
import contextlib
import hashlib
import json
import os

import aiohttp
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from standins import caller as callers
from standins import proxy
from standins import site as sites
from tests import documents
from tests.integration import started

_ORDER = ("/front/order=POST:/back/adjust",)
_WORKERS = (
    sites.Worker("front-1", "east", "front", work_ms=20, children=_ORDER),
    sites.Worker("front-2", "west", "front", work_ms=20, children=_ORDER),
    sites.Worker("back-1", "east", "back", work_ms=40),
    sites.Worker("back-2", "west", "back", work_ms=40),
)
_NAMES = tuple(worker.name for worker in _WORKERS)
_PATHS = ("/back/adjust", "/front/order")
_SEEDS = os.environ.get("SAVORYBEND_SCHEDULE_SEED", "1,2").split(",")
_EXAMPLES = 3
_STEPS = 25
_STEP_S = 0.06
_TIMEOUT_S = 1.5
_CLIENT_TIMEOUT = aiohttp.ClientTimeout(total=2 * _TIMEOUT_S)
_UP, _FROZEN, _DEAD = "up", "frozen", "dead"
_FAULTS = ("kill", "drain", "freeze", "cut", "silence")
_ACTIONS = ("send", "resend") * 3 + ("recover",) * 3 + _FAULTS

_names = strategies.sampled_from(_NAMES)


class _SiteUnderTest:
    """A site, the requests that its caller sent, and their answers."""

    def __init__(self, site, person):
        self.site = site
        self.person = person
        self.state = dict.fromkeys(_NAMES, _UP)
        self.paths_by_id = {}
        self.answers = []
        self.tasks = []

    async def take(self, issuer, path):
        [request_id] = await self.person.take_ids(
            self.site.addresses[issuer].call, 1
        )
        self.paths_by_id[request_id] = path

    def send(self, request_id, entry):
        """Sends a request in the background; it may have been sent before."""
        self.tasks.append(asyncio.create_task(self._send(request_id, entry)))

    async def _send(self, request_id, entry):
        answer = await self.person.call(
            self.site.addresses[entry].call,
            self.paths_by_id[request_id],
            method="POST",
            headers={"Savorybend-Request-Id": request_id},
            data=request_id.encode(),
            timeout_s=_TIMEOUT_S,
        )
        self.answers.append((request_id, answer))

    async def kill(self, name):
        """Kills the daemon and the backend server of a VM."""
        for process in (name, sites.backend_of(name)):
            self.site.kill(process)
            await self.site.wait_ended(process)
        self.state[name] = _DEAD

    async def drain(self, name):
        """Shuts down a daemon gracefully, then kills its backend server."""
        self.site.terminate(name)
        await self.site.wait_ended(name)
        self.site.kill(sites.backend_of(name))
        await self.site.wait_ended(sites.backend_of(name))
        self.state[name] = _DEAD

    async def freeze(self, name):
        """Pauses a daemon."""
        self.site.freeze(name)
        self.state[name] = _FROZEN

    async def cut(self, name):
        """Breaks connections to a daemon and refuses new ones."""
        self.site.proxies[name].inject(proxy.Fault.CUT)

    async def silence(self, name):
        """Drops all data sent over connections to a daemon."""
        self.site.proxies[name].inject(proxy.Fault.SILENT)

    async def recover(self, name):
        """Heals a VM's links; resumes a paused VM and restarts a dead one."""
        self.site.proxies[name].heal()
        if self.state[name] == _FROZEN:
            self.site.resume(name)
        if self.state[name] == _DEAD:
            await self.site.start_daemon(name)
            await self.site.start_backend(name)
            await self.site.wait_listening(name)
        self.state[name] = _UP

    async def recover_all(self):
        """Ends all faults and sends every request again to two daemons."""
        for name in _NAMES:
            await self.recover(name)
        await self.site.wait_ready()
        await asyncio.gather(*self.tasks)
        for request_id in self.paths_by_id:
            for entry in ("front-1", "back-2"):
                await self._send(request_id, entry)

    def check(self):
        """Checks that no request ran twice and all outcomes are true."""
        effects = self.site.effects()
        repeated = {name: n for name, n in effects.items() if n > 1}
        assert not repeated
        bodies = {}
        for request_id, answer in self.answers:
            if answer.outcome == "not-run":
                effects_of_request = {
                    name for name in effects if _belongs_to(name, request_id)
                }
                assert not effects_of_request, answer
            if answer.outcome == "ran" and answer.status == 200:
                self._check_body(request_id, answer.body)
                first = bodies.setdefault(request_id, answer.body)
                assert first == answer.body

    def _check_body(self, request_id, body):
        answer = json.loads(body)
        assert answer["request_id"] == request_id
        assert answer["path"] == self.paths_by_id[request_id]
        digest = hashlib.sha256(request_id.encode()).hexdigest()
        assert answer["body_sha256"] == digest


def _belongs_to(name, request_id):
    return name == request_id or name.startswith(f"{request_id}/")


class _Schedule(stateful.RuleBasedStateMachine):
    # Set by the subclass that is created for each site.
    runner = site = person = None

    def __init__(self):
        super().__init__()
        self.system = _SiteUnderTest(self.site, self.person)

    def run(self, work):
        async def step():
            await work
            await asyncio.sleep(_STEP_S)

        self.runner.run(step())

    # A single rule for all actions: Hypothesis disables some rules in each
    # example, and a schedule that sends no requests tests nothing.
    @stateful.rule(
        action=strategies.sampled_from(_ACTIONS),
        name=_names,
        entry=_names,
        number=strategies.integers(0, 9),
        path=strategies.sampled_from(_PATHS),
    )
    def act(self, action, name, entry, number, path):
        match action:
            case "send" if self.system.state[name] == _UP:
                self.run(self._send(name, entry, path))
            case "resend":
                self.run(self._resend(number, entry))
            case "recover":
                self.run(self.system.recover(name))
            case "cut" | "silence":
                self.run(getattr(self.system, action)(name))
            case "kill" | "drain" | "freeze" if self._may_fail(name):
                self.run(getattr(self.system, action)(name))

    async def _send(self, issuer, entry, path):
        # Sends two requests, since a schedule with few requests tests little.
        for address in (entry, issuer):
            await self.system.take(issuer, path)
            self.system.send(list(self.system.paths_by_id)[-1], address)

    async def _resend(self, number, entry):
        known = list(self.system.paths_by_id)
        if known:
            self.system.send(known[-1 - number % len(known)], entry)

    def _may_fail(self, name):
        up = [n for n in _NAMES if self.system.state[n] == _UP]
        return name in up and len(up) > 2

    def teardown(self):
        self.runner.run(self.system.recover_all())
        answers = collections.Counter(
            (answer.outcome, answer.reason) for _, answer in self.system.answers
        )
        print(f"{len(self.system.paths_by_id)} requests: {dict(answers)}")
        self.system.check()


@pytest.mark.parametrize("seed", [int(seed) for seed in _SEEDS])
def test_outcomes_are_true_over_random_schedules(seed):
    print(f"replay with SAVORYBEND_SCHEDULE_SEED={seed}")
    with asyncio.Runner() as runner:
        stack, site, person = runner.run(_start())
        try:
            parts = {"runner": runner, "site": site, "person": person}
            machine = type("Schedule", (_Schedule,), parts)
            stateful.run_state_machine_as_test(
                hypothesis.seed(seed)(machine),
                settings=hypothesis.settings(
                    max_examples=_EXAMPLES,
                    stateful_step_count=_STEPS,
                    derandomize=False,
                    database=None,
                    # Shrinking would take many minutes with real processes.
                    phases=(hypothesis.Phase.generate,),
                ),
            )
        finally:
            runner.run(stack.aclose())


async def _start():
    stack = contextlib.AsyncExitStack()
    # With the default timeout, a VM that drains while a peer is frozen would
    # wait a minute for it.
    creating = started.create(_WORKERS, proxied=True, DRAIN_TIMEOUT_S="3")
    site, _ = await stack.enter_async_context(creating)
    session = await stack.enter_async_context(
        aiohttp.ClientSession(timeout=_CLIENT_TIMEOUT)
    )
    return stack, site, callers.Caller(session, documents.MARUYAMA.text)
