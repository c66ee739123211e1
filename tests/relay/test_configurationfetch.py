"""Configurations are fetched nearby, packed, and never trusted blindly."""

from savorybend.relay import catalog
from savorybend.relay import configurationfetch
from savorybend.relay import frames
from tests import fakes
from tests.relay import samples


def _catalog(version=None):
    found = catalog.create_catalog(samples.decode_configuration)
    if version is not None:
        found.offer(b"%d " % version + b"route " * 1000, "test")
    return found


def _fetch():
    clock = fakes.create_clock()
    return clock, configurationfetch.create_configuration_fetch(clock)


def test_a_packed_document_is_smaller_and_arrives_whole():
    _, fetch = _fetch()
    sent = []
    fetch.answer(
        frames.FetchConfiguration(packed=True), _catalog(7), sent.append
    )
    assert len(sent[0].document) < 200
    target = _catalog()
    fetch.receive(sent[0], target, "peer")
    assert target.current.document == _catalog(7).current.document


def test_a_daemon_that_reads_no_packed_document_gets_a_plain_one():
    _, fetch = _fetch()
    sent = []
    fetch.answer(frames.FetchConfiguration(), _catalog(7), sent.append)
    assert sent[0].document == _catalog(7).current.document


def test_a_garbled_document_changes_nothing():
    _, fetch = _fetch()
    target = _catalog(6)
    for document in (b"", b"garbled", b"x\x9c"):
        message = frames.ConfigurationDocument(7, document, True)
        fetch.receive(message, target, "peer")
    assert target.version == 6


def test_another_data_centre_is_asked_only_after_a_delay():
    clock, fetch = _fetch()
    assert not fetch.is_due(7, 6, remote=True)
    assert fetch.is_due(7, 6, remote=False)
    clock.advance(0.5)
    assert fetch.is_due(7, 6, remote=True)


def test_a_daemon_without_a_configuration_asks_anyone_at_once():
    _, fetch = _fetch()
    assert fetch.is_due(7, 0, remote=True)


def test_a_request_that_is_not_answered_is_repeated():
    clock, fetch = _fetch()
    assert fetch.is_due(7, 6, remote=False)
    assert not fetch.is_due(7, 6, remote=False)
    clock.advance(0.2)
    assert fetch.is_due(7, 6, remote=False)
