"""Starts once each child call that a repeated request could make again.

A request on an idempotent route may run on two backend servers, and makes
child calls with the same IDs on each. The daemon where it entered starts those
that must not run twice, and gives the second run the answer of the first.
"""

import collections.abc
import contextlib
import functools

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import fingerprints
from savorybend.internal import outcomes
from savorybend.internal import records
from savorybend.internal import timers


class ChildCalls:
    """The child calls of the requests whose IDs this daemon issued."""

    def __init__(
        self,
        daemon: str,
        timer_service: timers.TimerService,
        kept: records.Records,
        target: calls.Target,
    ):
        self._daemon = daemon
        self._timers = timer_service
        self._records = kept
        self._target = target
        # A request has an entry while it may be run again. Records can be
        # pushed out meanwhile, and what they forget must not start again.
        self._started: dict[str, set[str]] = {}

    @property
    def in_flight(self) -> int:
        """Child calls that were started and are not over."""
        return self._records.running

    @contextlib.contextmanager
    def allow(self, request_id: str) -> collections.abc.Iterator[None]:
        """Lets a request have child calls in this context."""
        self._started[request_id] = set()
        try:
            yield
        finally:
            self._end(request_id)

    def allow_until(self, request_id: str, deadline_s: float) -> None:
        """Lets a request have child calls until its deadline."""
        self._started[request_id] = set()
        left_s = max(0.0, deadline_s - self._timers.clock.now_s())
        self._timers.after(left_s, functools.partial(self._end, request_id))

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the answer of the child call's only run."""
        if not self._records.find(call.request_id):
            root, _, _ = call.request_id.partition("/")
            started = self._started.get(root)
            if started is None or call.request_id in started:
                return calls.create_unknown_answer(
                    outcomes.RECORD_GONE, call.request_id, self._daemon
                )
            started.add(call.request_id)
        once = call._replace(repeatable=False)
        return await self._records.run(
            call,
            fingerprints.of_request(call, body),
            lambda: self._target.execute(once, body),
        )

    def _end(self, request_id: str) -> None:
        self._started.pop(request_id, None)


def create_child_calls(
    daemon: str, timer_service: timers.TimerService, target: calls.Target
) -> ChildCalls:
    """Returns the child calls of a daemon that has issued no ID yet."""
    kept = records.create_records(daemon, timer_service.clock)
    return ChildCalls(daemon, timer_service, kept, target)
