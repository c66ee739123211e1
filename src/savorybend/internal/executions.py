"""The execution of a call by the backend server."""

import collections.abc
import typing

import aiohttp

from savorybend.internal import backendanswers
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

# Outcomes that a backend server may state in its answer's header.
_STATED_OUTCOMES = {
    outcomes.Outcome.PARTIAL.value: outcomes.Outcome.PARTIAL,
    outcomes.Outcome.NOT_RUN.value: outcomes.Outcome.NOT_RUN,
}


class Parts(typing.NamedTuple):
    """Dependencies of an execution; it releases what it holds of them."""

    clock: timers.Clock
    gate: concurrency.Gate
    handles: handles.Handles
    quarantine: quarantine.Quarantine


class Execution:
    """A call from its admission at the gate until its answer ends."""

    def __init__(
        self,
        parts: Parts,
        live_request: handles.LiveRequest,
        permit: concurrency.Permit,
    ):
        self._parts = parts
        self._permit = permit
        self._ended = False
        self._run: quarantine.Run | None = None
        self.live_request = live_request
        self.body_lost = False

    @property
    def call(self) -> calls.Call:
        """The call."""
        return self.live_request.call

    @property
    def threshold(self) -> float:
        """The highest admission threshold met by calls like this one.

        That of this VM's gate for the call's class, or one that a child
        call's answer carried.
        """
        return max(
            self._parts.gate.threshold_for(self.call),
            self.live_request.threshold,
        )

    def begin(self, body: bodies.Body) -> outcomes.Refuse | None:
        """Registers the run with the quarantine.

        Returns:
            The refusal if the quarantine holds the call back, else None.
        """
        run = self._parts.quarantine.begin(self.call, body)
        if isinstance(run, outcomes.Refuse):
            return run
        self._run = run
        return None

    def note_crash(self) -> None:
        """Records that the backend server crashed during the execution."""
        self._parts.quarantine.note_crash(self._run)

    def note_answer(self) -> None:
        """Records that the backend server answered without a crash."""
        self._parts.quarantine.note_answer(self._run)

    def end(self, whole: bool) -> None:
        """Releases the gate's permit and the handle; idempotent.

        Args:
            whole: Whether the backend server answered in full.
        """
        if self._ended:
            return
        self._ended = True
        if self._run is not None:
            self._parts.quarantine.end(self._run)
        latency_s = self._parts.clock.now_s() - self._permit.admitted_s
        metrics.backend_seconds(self.call.priority).observe(latency_s)
        self._parts.handles.withdraw(self.live_request)
        report = concurrency.Report(
            latency_s, not whole, self.live_request.children_s
        )
        self._parts.gate.release(self._permit, report)

    def end_of(self, response: backendanswers.Response):
        """Returns the callback for the end of a streamed answer.

        Its argument says whether the answer arrived in full.
        """

        def on_end(whole: bool) -> None:
            if whole:
                self.note_answer()
            else:
                response.close()
            self.end(whole)

        return on_end


def outcome_of(
    live_request: handles.LiveRequest, response: backendanswers.Response
) -> tuple[outcomes.Outcome, str]:
    """Returns the outcome of a backend server's answer, and its reason."""
    stated = _STATED_OUTCOMES.get(response.headers.get(headers.OUTCOME, ""))
    if stated is None:
        # `partial` keeps the calling daemon from retrying an error that comes
        # from a failed child call: the daemon that made the child call has
        # retried it already if that is allowed.
        if response.status >= 500 and live_request.child_failed:
            return outcomes.Outcome.PARTIAL, ""
        return outcomes.Outcome.RAN, ""
    if stated is outcomes.Outcome.NOT_RUN:
        # Child calls prove that something ran.
        if live_request.children:
            return outcomes.Outcome.PARTIAL, ""
        return stated, outcomes.BACKEND_SERVER_SHED.name
    return stated, ""


async def read_body(body: bodies.Body, execution: Execution):
    """Yields a call's body, and sets `body_lost` if it breaks off.

    Raises:
        OSError: The body broke off.
        aiohttp.ClientError: The body broke off.
        errors.AnswerLostError: The body broke off.
    """
    try:
        while data := await body.read():
            yield data
    except (OSError, aiohttp.ClientError, errors.AnswerLostError):
        execution.body_lost = True
        raise


def create_reader(
    response: backendanswers.Response,
    on_broken: collections.abc.Callable[[], None],
):
    """Returns a function that reads an answer's body in chunks.

    It returns b"" at the end, and raises `errors.AnswerLostError` if the
    answer breaks off.

    Args:
        response: The backend server's answer.
        on_broken: Called if the answer breaks off.
    """

    async def read() -> bytes:
        try:
            return await response.read_part()
        except errors.AnswerUnusableError:
            raise
        except (
            aiohttp.ClientError,
            OSError,
            errors.AnswerLostError,
        ) as error:
            on_broken()
            raise errors.AnswerLostError(
                f"the backend server's answer broke off ({error}): ask about "
                "the request by its ID"
            ) from error

    return read


def create_execution(
    parts: Parts, live_request: handles.LiveRequest, permit: concurrency.Permit
) -> Execution:
    """Returns the execution of a call that the gate admitted."""
    return Execution(parts, live_request, permit)
