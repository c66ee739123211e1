"""Records in the store change only what they are about."""

import msgspec
import pytest

from savorybend.relay import directory
from savorybend.relay import presence
from savorybend.relay import store
from savorybend.relay import storeupdates
from tests.relay import samples


class _Fleet:
    def __init__(self, known):
        self.known = known

    def on_statement(self, statement, source):
        self.known.learn(statement, source)

    def forget(self, name, source):
        self.known.remove(name, source)


class _Publisher:
    def note_listed(self, found, era):
        return False


class _Fixture:
    def __init__(self):
        self.directory = directory.create_directory("own")
        self.updates = storeupdates.create_store_updates(
            storeupdates.Parts(
                own="own",
                timers=None,
                configuration=None,
                directory=self.directory,
                fleet=_Fleet(self.directory),
                publisher=_Publisher(),
                on_lost=None,
                random_fraction=lambda: 0.0,
                suspects=None,
            )
        )

    def list(self, *objects):
        self.updates.on_daemons(store.Listing(1, objects))

    def change(self, *objects):
        self.updates.on_daemon_changes(store.Listing(2, objects, after=1))


def _stored(name, daemon, **changes):
    record = presence.Record(
        samples.statement(daemon, **changes), "ready", 5, 1
    )
    return store.StoredObject(name, 1, msgspec.json.encode(record))


@pytest.mark.parametrize("way", ["list", "change"])
def test_a_record_that_names_another_daemon_changes_nothing_of_it(way):
    # With a higher boot number it led all calls to another address.
    fixture = _Fixture()
    learn = getattr(fixture, way)
    learn(
        _stored("a", "a"),
        _stored("odd", "a", boot=9, port=9),
        _stored("b", "b"),
        _stored("odd2", "own", boot=9, port=9),
    )
    assert fixture.directory.names == ["a", "b"]
    assert fixture.directory.get("a").port == samples.statement("a").port


@pytest.mark.parametrize("way", ["list", "change"])
def test_a_record_that_cannot_be_read_leaves_the_others(way):
    fixture = _Fixture()
    learn = getattr(fixture, way)
    learn(
        _stored("a", "a"),
        store.StoredObject("odd", 1, b"[" * 100_000),
        _stored("b", "b"),
    )
    assert fixture.directory.names == ["a", "b"]
