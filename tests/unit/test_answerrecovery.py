"""Tests that only a decided answer of the same request is recovered."""

from savorybend.internal import answerrecovery
from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import fingerprints
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal.wire import requests as wire
from tests import fakes
from tests import requests

_ADDRESS = "127.0.0.1:1"
_BODY = bodies.WholeBody(b"3 crates")
_CALL = requests.create_call()
_FALLBACK = calls.create_own_answer(
    outcomes.Outcome.UNKNOWN, outcomes.ISSUER_LOST, "front-1.1.1", "front-1"
)
_NEVER_SEEN = wire.InquiryReply(1, None)
_RUNNING = wire.InquiryReply(1, None, running=True)


def _reply_with_answer(outcome, body=_BODY):
    fingerprint = fingerprints.of_request(_CALL, body)
    answer = wire.StoredAnswer(
        fingerprint, 200, [], outcome, "", "back-1", b"!"
    )
    return wire.InquiryReply(1, None, answer=answer)


class _Inquirer:
    """Returns the given replies, one round per call of `ask`."""

    def __init__(self, *rounds):
        self._rounds = list(rounds)

    async def ask(self, request_id, daemons, timeout_s):
        assert set(daemons) == {"back-1"}
        return self._rounds.pop(0)


async def _fetch(*rounds, call=_CALL):
    record = members.Record(
        "back-1", 1, "east", "back", _ADDRESS, _ADDRESS, _ADDRESS, "key"
    )
    parts = answerrecovery.Parts(
        fakes.create_clock(),
        members.create_directory(record),
        _Inquirer(*rounds),
    )
    recovery = answerrecovery.create_recovery(parts)
    return await recovery.fetch(call, _BODY, _FALLBACK)


async def test_a_running_request_is_awaited_and_its_answer_returned():
    answer = await _fetch([_RUNNING], [_NEVER_SEEN, _reply_with_answer("ran")])
    assert (answer.outcome, answer.body.whole) == ("ran", b"!")


async def test_only_a_decided_answer_of_the_same_request_is_returned():
    other = _reply_with_answer("ran", bodies.WholeBody(b"4 crates"))
    for reply in (
        _NEVER_SEEN,
        _reply_with_answer("not-run"),
        _reply_with_answer("unknown"),
        other,
    ):
        assert await _fetch([reply]) is _FALLBACK
    assert await _fetch([]) is _FALLBACK


async def test_no_daemon_is_asked_after_the_deadline():
    assert await _fetch(call=_CALL._replace(deadline_s=1.0)) is _FALLBACK
