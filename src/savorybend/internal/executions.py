"""A call while the backend server works on it."""

import collections.abc
import typing

import aiohttp

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import concurrency
from savorybend.internal import errors
from savorybend.internal import handles
from savorybend.internal import headers
from savorybend.internal import metrics
from savorybend.internal import outcomes
from savorybend.internal import quarantine
from savorybend.internal import timers

# A backend server's own outcomes, where its answer states one.
_STATED = {
    outcomes.Outcome.PARTIAL.value: outcomes.Outcome.PARTIAL,
    outcomes.Outcome.NOT_RUN.value: outcomes.Outcome.NOT_RUN,
}


class Parts(typing.NamedTuple):
    """What a flight gives back when it is over."""

    clock: timers.Clock
    gate: concurrency.Gate
    handles: handles.Handles
    quarantine: quarantine.Quarantine


class Execution:
    """A call that the backend server works on, until it is over."""

    def __init__(
        self,
        parts: Parts,
        live: handles.LiveRequest,
        ticket: concurrency.Ticket,
    ):
        self._parts = parts
        self._ticket = ticket
        self._over = False
        self._run: quarantine.Run | None = None
        self.live = live
        self.body_lost = False

    @property
    def call(self) -> calls.Call:
        """The call."""
        return self.live.call

    @property
    def threshold(self) -> float:
        """The highest threshold that decides about calls like this one."""
        return max(
            self._parts.gate.threshold_for(self.call), self.live.threshold
        )

    def begin(self, body: bodies.Body) -> outcomes.Refuse | None:
        """Returns why the backend server must not have it now, if so."""
        run = self._parts.quarantine.begin(self.call, body)
        if isinstance(run, outcomes.Refuse):
            return run
        self._run = run
        return None

    def note_death(self) -> None:
        """Notes that the backend server died under it."""
        self._parts.quarantine.note_death(self._run)

    def note_answer(self) -> None:
        """Notes that the backend server lived through it."""
        self._parts.quarantine.note_answer(self._run)

    def end(self, whole: bool) -> None:
        """Gives the ticket and the handle back; ending twice is no error."""
        if self._over:
            return
        self._over = True
        if self._run is not None:
            self._parts.quarantine.end(self._run)
        latency_s = self._parts.clock.now_s() - self._ticket.entered_s
        metrics.backend_seconds(self.call.priority).observe(latency_s)
        self._parts.handles.withdraw(self.live)
        report = concurrency.Report(latency_s, not whole, self.live.children_s)
        self._parts.gate.leave(self._ticket, report)

    def end_of(self, response: aiohttp.ClientResponse):
        """Returns what to call at the end of a streamed answer."""

        def on_end(whole: bool) -> None:
            if whole:
                self.note_answer()
            else:
                response.close()
            self.end(whole)

        return on_end


def outcome_of(
    live: handles.LiveRequest, response: aiohttp.ClientResponse
) -> tuple[outcomes.Outcome, str]:
    """Returns the outcome of a backend server's answer, and the reason."""
    stated = _STATED.get(response.headers.get(headers.OUTCOME, ""))
    if stated is None:
        # An error that comes from below is no reason for the daemon above to
        # retry: the daemon next to the failure has done so, if anyone may.
        if response.status >= 500 and live.failed_below:
            return outcomes.Outcome.PARTIAL, ""
        return outcomes.Outcome.RAN, ""
    if stated is outcomes.Outcome.NOT_RUN:
        # A backend server that made child calls can't have run nothing.
        if live.children:
            return outcomes.Outcome.PARTIAL, ""
        return stated, outcomes.BACKEND_SERVER_SHED.name
    return stated, ""


async def read_body(body: bodies.Body, flight: Execution):
    """Yields a call's body, and notes if it broke off on its way here."""
    try:
        while data := await body.read():
            yield data
    except (OSError, aiohttp.ClientError, errors.AnswerLostError):
        flight.body_lost = True
        raise


def create_reader(
    response: aiohttp.ClientResponse,
    on_broken: collections.abc.Callable[[], None],
):
    """Returns what reads an answer's body in parts.

    Args:
        response: The backend server's answer.
        on_broken: Called if the answer breaks off.
    """

    async def read() -> bytes:
        try:
            return await response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            on_broken()
            raise errors.AnswerLostError(
                f"the backend server's answer broke off ({error}): ask about "
                "the request by its ID"
            ) from error

    return read


def create_execution(
    parts: Parts, live: handles.LiveRequest, ticket: concurrency.Ticket
) -> Execution:
    """Returns the flight of a call that was let in."""
    return Execution(parts, live, ticket)
