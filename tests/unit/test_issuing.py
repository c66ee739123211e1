"""An ID is started once, and only for whom it was issued to."""

import hypothesis
from hypothesis import strategies

from savorybend.internal import issuing
from savorybend.internal import requestids

_ACCOUNTS = ("maruyama", "otaru")


@hypothesis.given(
    takes=strategies.lists(strategies.sampled_from(_ACCOUNTS), max_size=3000),
    started=strategies.sets(strategies.integers(0, 2999)),
)
def test_an_id_stands_as_it_was_issued_and_started(takes, started):
    issuer = issuing.create_issuer("back-1", 5)
    issued = [requestids.parse(issuer.issue(account)) for account in takes]
    assert len(set(issued)) == len(issued)
    for index in started & set(range(len(issued))):
        issuer.start(issued[index])
    for index, request_id in enumerate(issued):
        unused, used = issuing.IdStatus.UNUSED, issuing.IdStatus.STARTED
        for account in _ACCOUNTS:
            expected = used if index in started else unused
            if account != takes[index]:
                expected = issuing.IdStatus.NEVER_ISSUED
            assert issuer.status_of(request_id, account) is expected
        assert issuer.started(request_id) == (index in started)


@hypothesis.given(sequence=strategies.integers(0, 2**64 - 1))
def test_a_guessed_id_was_never_issued(sequence):
    issuer = issuing.create_issuer("back-1", 5)
    guess = requestids.RequestId("back-1", 5, sequence)
    standing = issuer.status_of(guess, "maruyama")
    assert standing is issuing.IdStatus.NEVER_ISSUED


def test_an_account_pushes_out_only_its_own_ids():
    issuer = issuing.create_issuer("back-1", 5)
    kept = requestids.parse(issuer.issue("otaru"))
    first = requestids.parse(issuer.issue("maruyama"))
    for _ in range(257 * 1024):
        issuer.issue("maruyama")
    assert issuer.status_of(kept, "otaru") is issuing.IdStatus.UNUSED
    assert issuer.status_of(first, "maruyama") is issuing.IdStatus.RETIRED
    assert issuer.started(first)


@hypothesis.given(
    takes=strategies.lists(strategies.sampled_from(_ACCOUNTS), max_size=3000),
    started=strategies.sets(strategies.integers(0, 2999)),
    most=strategies.integers(1, 3000),
)
def test_only_ids_that_were_never_started_are_called_unused(
    takes, started, most
):
    issuer = issuing.create_issuer("back-1", 5)
    issued = [requestids.parse(issuer.issue(account)) for account in takes]
    idle = set()
    for index, request_id in enumerate(issued):
        if index in started:
            issuer.start(request_id)
        else:
            idle.add((takes[index], request_id.sequence))
    found = {
        (each.client_account, sequence)
        for each in issuer.unused(most)
        for sequence in each.sequences
    }
    assert found <= idle
    assert len(found) == min(most, len(idle))
