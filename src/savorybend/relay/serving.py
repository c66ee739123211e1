"""Runs calls on the local backend server.

All calls to the backend server pass through this daemon. It therefore knows
exactly whether the backend server is draining, which instance it is, how many
requests it is running and which of them it died under. Peers that act on stale
information get an accurate refusal.
"""

import collections.abc
import itertools
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import backend
from savorybend.relay import callqueue
from savorybend.relay import calls
from savorybend.relay import contents
from savorybend.relay import crashes
from savorybend.relay import directory
from savorybend.relay import outcomes
from savorybend.relay import pool
from savorybend.relay import suspects
from savorybend.relay import watchdog

# A request that hangs releases its slot this long after its deadline.
_OVERDUE_GRACE_S = 0.6
_USABLE_SLOT_FRACTION = 0.94

_log = structlog.get_logger()

OnOutcome = collections.abc.Callable[[outcomes.Outcome], None]

_REASONS = {
    directory.DRAINING: outcomes.DRAINING,
    directory.ABSENT: outcomes.NO_BACKEND_SERVER,
    directory.LOST: outcomes.NO_BACKEND_SERVER,
}


class Run:
    """A call queued or running at this daemon; its handle to cancel it."""

    __slots__ = (
        "_serving",
        "call",
        "callback",
        "number",
        "waiting",
        "dispatch",
        "instance",
        "request",
        "permit",
        "sent",
    )

    def __init__(
        self,
        serving: "Serving",
        number: int,
        call: calls.Call,
        callback: OnOutcome,
    ):
        self._serving = serving
        self.number = number
        self.call = call
        self.callback = callback
        self.waiting: callqueue.QueuedCall | None = None
        self.dispatch: pool.Dispatch | None = None
        self.instance = ""
        self.request = contents.Request(call)
        self.permit: suspects.Permit | None = None
        self.sent: crashes.SentRequest | None = None

    def cancel(self) -> None:
        """Cancels the call because nobody waits for its answer any more."""
        self._serving.cancel(self)


class Parts(typing.NamedTuple):
    """Dependencies of the serving side.

    Attributes:
        server: State of the local backend server.
        pool: Connections to the backend server.
        call_queue: Queues calls and limits concurrency.
        suspects: Requests that backend servers died under.
        watchdog: Checks whether the backend server is alive.
        clock: The clock.
        takes_calls: Returns whether this daemon still accepts new calls.
    """

    server: backend.BackendServer
    pool: pool.Pool
    call_queue: callqueue.CallQueue
    suspects: suspects.Suspects
    watchdog: watchdog.Watchdog
    clock: timers.Clock
    takes_calls: collections.abc.Callable[[], bool]


class Serving:
    """Calls queued for the local backend server or running on it."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._runs: dict[int, Run] = {}
        self._by_id: dict[str, calls.Call] = {}
        self._numbers = itertools.count()
        self._broken: set[crashes.Incarnation] = set()
        self._crashes = crashes.create_crashes(
            parts.clock, parts.suspects.note_crash
        )

    @property
    def load(self) -> outcomes.Load:
        """Current load of the backend server."""
        return self._parts.call_queue.load

    def running(self, request_id: str) -> calls.Call | None:
        """Returns the queued or running call with an ID; None if none is."""
        return self._by_id.get(request_id)

    @property
    def busy(self) -> int:
        """Number of queued and running calls."""
        return len(self._runs)

    def submit(self, call: calls.Call, callback: OnOutcome) -> Run:
        """Queues or refuses a call.

        The callback gets the outcome, possibly before this returns.
        """
        run = Run(self, next(self._numbers), call, callback)
        refusal = self._refusal(run)
        if refusal is not None:
            callback(refusal)
            return run
        self._runs[run.number] = run
        self._by_id[call.request_id] = call
        run.waiting = callqueue.QueuedCall(
            call,
            lambda waiting: self._enter(run),
            lambda waiting, refusal: self._finish(run, refusal),
            lambda: self._check_start(run),
        )
        self._parts.call_queue.enter(run.waiting)
        return run

    def cancel(self, run: Run) -> None:
        """Removes a queued call; aborts a running one if it is idempotent."""
        if run.number not in self._runs:
            return
        if run.waiting.started_s is None:
            self._parts.call_queue.withdraw(run.waiting)
            self._forget(run)
        elif run.call.idempotent:
            self._abort(run)
        # A running call that isn't idempotent continues: its effect is wanted
        # or has already begun.

    def on_server_change(self) -> None:
        """Applies a new state of the backend server."""
        server = self._parts.server
        self._crashes.on_server_change(server)
        if server.takes_calls:
            self._refuse_other_services()
            self._parts.call_queue.set_limit(_limit(server.current.slots))
            return
        self._parts.call_queue.set_limit(0)
        self._parts.call_queue.refuse_all(_REASONS[server.state])

    def _refuse_other_services(self) -> None:
        """Refuses queued calls of services that the backend server isn't of."""
        service = self._parts.server.current.service
        for run in list(self._runs.values()):
            if run.waiting.started_s is None and run.call.service != service:
                self._parts.call_queue.withdraw(run.waiting)
                self._finish(run, outcomes.NotRun(outcomes.NO_BACKEND_SERVER))

    def sweep(self) -> None:
        """Refuses calls that waited too long and aborts overdue ones."""
        self._parts.call_queue.sweep()
        self._crashes.sweep()
        now_s = self._parts.clock.now_s()
        for run in list(self._runs.values()):
            if run.waiting.started_s is None:
                continue
            if now_s > run.call.deadline_s + _OVERDUE_GRACE_S:
                self._abort(run)
                run.callback(outcomes.Lost(outcomes.DEADLINE))

    def _refusal(self, run: Run) -> outcomes.NotRun | None:
        server = self._parts.server
        if not server.takes_calls:
            return outcomes.NotRun(_REASONS[server.state])
        if not self._parts.takes_calls():
            return outcomes.NotRun(outcomes.DRAINING)
        return self._check_start(run)

    def _check_start(self, run: Run) -> outcomes.NotRun | None:
        """Returns a refusal if a call must not be sent now.

        While it was queued, the backend server may have been replaced by one of
        another service at the same address.
        """
        if self._parts.server.current.service != run.call.service:
            return outcomes.NotRun(outcomes.NO_BACKEND_SERVER)
        if not self._parts.suspects.held(run.request):
            return None
        return outcomes.NotRun(
            outcomes.QUARANTINED, retry_after_s=1.0, elsewhere=False
        )

    def _enter(self, run: Run) -> None:
        server = self._parts.server
        run.instance = server.current.instance
        run.permit = self._parts.suspects.begin(run.request)
        run.sent = self._crashes.begin(run.request)
        run.dispatch = self._parts.pool.dispatch(
            run.call, run.instance, lambda outcome: self._on_done(run, outcome)
        )

    def _on_done(self, run: Run, outcome: outcomes.Outcome) -> None:
        match outcome:
            case outcomes.Ran(status=status):
                self._crashes.note_answer(run.sent)
                self._parts.suspects.note_answer(
                    run.request, run.permit, status
                )
            case outcomes.NotRun(reason=reason):
                self._crashes.note_answer(run.sent)
                self._note_not_run(run, reason)
            case outcomes.Lost(reason=reason):
                self._crashes.note_end(run.sent)
                if reason == outcomes.BACKEND_SERVER_LOST:
                    self._note_broken(run.sent.incarnation)
        if run.number in self._runs:
            answered = isinstance(outcome, outcomes.Ran)
            self._forget(run)
            self._parts.call_queue.leave(run.waiting, answered)
        run.waiting.clear_callbacks()
        run.callback(outcome)

    def _note_not_run(self, run: Run, reason: str) -> None:
        match reason:
            case outcomes.NOT_THE_INSTANCE:
                current = self._parts.server.current
                if current is not None and current.instance == run.instance:
                    self._parts.server.lose(
                        "another one answers at its address"
                    )
            case outcomes.NO_BACKEND_SERVER:
                self._parts.server.lose("takes no connection")

    def _note_broken(self, incarnation: crashes.Incarnation) -> None:
        # A connection may also break while the backend server stays alive, so
        # its liveness is checked before requests become suspects.
        check_pending = bool(self._broken)
        self._broken.add(incarnation)
        if not check_pending:
            self._parts.watchdog.check(self._on_checked)

    def _on_checked(self, alive: bool) -> None:
        broken, self._broken = self._broken, set()
        if not alive:
            for incarnation in broken:
                self._crashes.note_gone(incarnation)

    def _finish(self, run: Run, refusal: outcomes.NotRun) -> None:
        self._forget(run)
        if run.waiting is not None:
            run.waiting.clear_callbacks()
        run.callback(refusal)

    def _forget(self, run: Run) -> None:
        self._runs.pop(run.number, None)
        self._by_id.pop(run.call.request_id, None)

    def _abort(self, run: Run) -> None:
        self._forget(run)
        self._crashes.note_end(run.sent)
        if run.dispatch is not None:
            run.dispatch.abort()
        self._parts.call_queue.leave(run.waiting, False)


def _limit(slots: int) -> int:
    """Returns the concurrency limit for a backend server's slots.

    Some backend servers slow down when nearly full, so the last slots cost more
    throughput than they add.
    """
    return max(1, int(slots * _USABLE_SLOT_FRACTION))


def create_serving(parts: Parts) -> Serving:
    """Returns the serving side of a daemon."""
    return Serving(parts)
