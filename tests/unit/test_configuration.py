"""Tests of configuration documents, snapshots and the store."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.internal import configstore
from savorybend.internal import documents as schema
from savorybend.internal import errors
from savorybend.internal import snapshot
from tests import documents
from tests import fakes


def _document():
    return json.loads(documents.create_site().to_json())


# Each row: the keys of the changed field, its invalid value, the path that the
# error must name.
_FAULTS = (
    (("format",), 2, "$.format"),
    (("routes", "front", "service"), "none", "$.routes.front.service"),
    (("routes", "front", "priority"), 10, "$.routes.front.priority"),
    (("routes", "front", "priority"), "high", "$.routes[...].priority"),
    (("routes", "front", "methods"), ["FETCH"], "$.routes.front.methods[0]"),
    (("routes", "front", "path"), "front", "$.routes.front.path"),
    (("routes", "front", "timeout_s"), 0, "$.routes.front.timeout_s"),
    (("services", "back", "retries"), -1, "$.services.back.retries"),
    (
        ("client_accounts", "otaru", "rate_per_s"),
        0,
        "$.client_accounts.otaru.rate_per_s",
    ),
    (
        ("client_accounts", "otaru", "keys", "otaru-1", "hash"),
        "secret",
        "$.client_accounts.otaru.keys.otaru-1.hash",
    ),
    (("data_centres",), {}, "$.data_centres"),
)


@pytest.mark.parametrize("row", _FAULTS, ids=[row[2] for row in _FAULTS])
def test_a_fault_is_named_by_its_path(row):
    place, value, path = row
    document = _document()
    target = document
    for key in place[:-1]:
        target = target[key]
    target[place[-1]] = value
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        schema.decode(json.dumps(document).encode())
    assert caught.value.path == path


def test_the_same_path_and_method_twice_is_refused():
    site = documents.create_site()
    site.add_route("again", path="/front", service="front")
    with pytest.raises(errors.InvalidConfigurationError, match="front"):
        site.to_json()


@hypothesis.given(strategies.binary(max_size=200))
def test_no_bytes_do_more_than_be_refused(data):
    with pytest.raises(errors.InvalidConfigurationError):
        schema.decode(data)


def test_the_longest_prefix_in_whole_segments_wins():
    text = documents.create_site().to_json().encode()
    current = snapshot.create_snapshot(1, text)
    assert current.route("GET", "/back/photos/7").name == "photos"
    assert current.route("GET", "/back/photosets").name == "back"
    assert current.route("GET", "/backwards") is snapshot.NO_ROUTE


def test_a_key_fits_only_with_its_secret():
    text = documents.create_site().to_json().encode()
    current = snapshot.create_snapshot(1, text)
    assert current.account_of_key(documents.OTARU.text) == "otaru"
    for wrong in ("", "otaru-1", "otaru-1.", "otaru-1.x", "x." + "o" * 32):
        assert current.account_of_key(wrong) is snapshot.NO_KEY


@hypothesis.given(strategies.lists(strategies.integers(1, 50)))
def test_the_version_in_force_only_rises(versions):
    store = configstore.create_store(fakes.create_clock())
    text = documents.create_site().to_json().encode()
    seen = [0]
    for version in versions:
        store.offer(version, text)
        seen.append(store.version)
    assert seen == sorted(seen)
    assert seen[-1] == max([0, *versions])


def test_a_broken_document_leaves_the_one_in_force():
    store = configstore.create_store(fakes.create_clock())
    text = documents.create_site().to_json().encode()
    assert store.offer(3, text)
    assert not store.offer(4, b"{}")
    assert store.version == 3
