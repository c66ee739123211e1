"""Starts non-idempotent child calls of repeatable requests at most once.

A request on an idempotent route may run on two backend servers, each of which
makes child calls with the same IDs. The daemon at which the request entered
starts the non-idempotent ones once, and answers the calls of the second run
with the answers of the first.
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
    """Child calls of requests whose IDs this daemon issued."""

    def __init__(
        self,
        daemon: str,
        timer_service: timers.TimerService,
        child_records: records.Records,
        target: calls.Target,
    ):
        self._daemon = daemon
        self._timers = timer_service
        self._records = child_records
        self._target = target
        # IDs of the child calls started, by request, while the request may run
        # again. A child call must not start again after its record has been
        # evicted.
        self._started: dict[str, set[str]] = {}

    @property
    def in_flight(self) -> int:
        """Number of started child calls that haven't ended."""
        return self._records.running

    @contextlib.contextmanager
    def allow(self, request_id: str) -> collections.abc.Iterator[None]:
        """Allows child calls of a request while the context is open."""
        self._started[request_id] = set()
        try:
            yield
        finally:
            self._disallow(request_id)

    def allow_until(self, request_id: str, deadline_s: float) -> None:
        """Allows child calls of a request until its deadline.

        Args:
            request_id: The request.
            deadline_s: Its deadline, on this VM's clock in seconds.
        """
        self._started[request_id] = set()
        left_s = max(0.0, deadline_s - self._timers.clock.now_s())
        self._timers.after(
            left_s, functools.partial(self._disallow, request_id)
        )

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Starts a child call unless it was started; returns its answer.

        The outcome is `unknown` if its record was evicted or its request may
        have no child calls now.
        """
        if not self._records.find(call.request_id):
            root, _, _ = call.request_id.partition("/")
            started = self._started.get(root)
            if started is None or call.request_id in started:
                return calls.create_unknown_answer(
                    outcomes.RECORD_GONE, call.request_id, self._daemon
                )
            started.add(call.request_id)
        single_run = call._replace(repeatable=False)
        return await self._records.run(
            call,
            fingerprints.of_request(call, body),
            lambda: self._target.execute(single_run, body),
        )

    def _disallow(self, request_id: str) -> None:
        self._started.pop(request_id, None)


def create_child_calls(
    daemon: str, timer_service: timers.TimerService, target: calls.Target
) -> ChildCalls:
    """Returns the child calls of a daemon; none are allowed yet."""
    child_records = records.create_records(daemon, timer_service.clock)
    return ChildCalls(daemon, timer_service, child_records, target)
