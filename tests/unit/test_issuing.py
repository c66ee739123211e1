"""Tests of the status of issued IDs by account and start."""

import hypothesis
from hypothesis import strategies

from savorybend.internal import issuing
from savorybend.internal import requestids

_ACCOUNTS = ("maruyama", "otaru")


@hypothesis.given(
    accounts=strategies.lists(
        strategies.sampled_from(_ACCOUNTS), max_size=3000
    ),
    started=strategies.sets(strategies.integers(0, 2999)),
)
def test_the_status_of_an_id_follows_issue_and_start(accounts, started):
    issuer = issuing.create_issuer("back-1", 5)
    issued = [requestids.parse(issuer.issue(account)) for account in accounts]
    assert len(set(issued)) == len(issued)
    for index in started & set(range(len(issued))):
        issuer.start(issued[index])
    for index, request_id in enumerate(issued):
        unused, used = issuing.IdStatus.UNUSED, issuing.IdStatus.STARTED
        for account in _ACCOUNTS:
            expected = used if index in started else unused
            if account != accounts[index]:
                expected = issuing.IdStatus.NEVER_ISSUED
            assert issuer.status_of(request_id, account) is expected
        assert issuer.started(request_id) == (index in started)


@hypothesis.given(sequence=strategies.integers(0, 2**64 - 1))
def test_a_guessed_id_was_never_issued(sequence):
    issuer = issuing.create_issuer("back-1", 5)
    guess = requestids.RequestId("back-1", 5, sequence)
    standing = issuer.status_of(guess, "maruyama")
    assert standing is issuing.IdStatus.NEVER_ISSUED


def test_an_account_evicts_only_its_own_ids():
    issuer = issuing.create_issuer("back-1", 5)
    kept = requestids.parse(issuer.issue("otaru"))
    first = requestids.parse(issuer.issue("maruyama"))
    for _ in range(257 * 1024):
        issuer.issue("maruyama")
    assert issuer.status_of(kept, "otaru") is issuing.IdStatus.UNUSED
    assert issuer.status_of(first, "maruyama") is issuing.IdStatus.RETIRED
    assert issuer.started(first)


@hypothesis.given(
    accounts=strategies.lists(
        strategies.sampled_from(_ACCOUNTS), max_size=3000
    ),
    started=strategies.sets(strategies.integers(0, 2999)),
    max_ids=strategies.integers(1, 3000),
)
def test_unused_lists_only_ids_that_were_never_started(
    accounts, started, max_ids
):
    issuer = issuing.create_issuer("back-1", 5)
    issued = [requestids.parse(issuer.issue(account)) for account in accounts]
    unused_ids = set()
    for index, request_id in enumerate(issued):
        if index in started:
            issuer.start(request_id)
        else:
            unused_ids.add((accounts[index], request_id.sequence))
    found = {
        (each.client_account, sequence)
        for each in issuer.unused(max_ids)
        for sequence in each.sequences
    }
    assert found <= unused_ids
    assert len(found) == min(max_ids, len(unused_ids))
