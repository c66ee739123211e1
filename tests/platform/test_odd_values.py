"""Each decoder returns a valid value or raises its own error, nothing else."""

import json
import math

import hypothesis
import pytest

from savorybend.internal import errors
from savorybend.platform import announcements
from savorybend.platform import configuration
from savorybend.platform import names
from savorybend.platform import settings
from savorybend.relay import exchanges
from savorybend.relay import frames
from savorybend.relay import presence
from savorybend.relay import store
from tests.platform import fleets
from tests.platform import oddentries

_BEAT = {
    "address": "10.0.0.1:80",
    "born": 5,
    "info": {"service": "ledger", "version": "v1", "zone": "z", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "coldRemaining": "1500ms"},
}
_MAX_COUNT = 1 << 53
_EXAMPLES = hypothesis.settings(max_examples=400)


class _Listener:
    def __init__(self):
        self.said = []

    def on_announcement(self, said, acknowledge):
        self.said.append(said)
        acknowledge()

    def on_withdrawal(self, instance, born_ms, acknowledge):
        self.said.append(born_ms)
        acknowledge()


class _Connection:
    closing = False

    def flush(self):
        pass


def _tell(target, body):
    listener = _Listener()
    exchange = exchanges.Exchange(_Connection())
    exchange.target = target
    exchange.body = body
    announcements.create_announcements(listener).handle(exchange)
    return listener.said, int(exchange.answer.split()[1])


@_EXAMPLES
@hypothesis.given(body=oddentries.documents(_BEAT))
def test_an_announcement_is_valid_or_refused(body):
    said, status = _tell(b"/instances/i-1/heartbeat", body)
    assert status == (200 if said else 400)
    for one in said:
        assert 1 <= one.slots <= _MAX_COUNT
        assert 0 <= one.born_ms <= _MAX_COUNT
        assert 0 <= one.sequence <= _MAX_COUNT
        assert 0 <= one.cold_s < math.inf


@_EXAMPLES
@hypothesis.given(body=oddentries.documents({"born": 5}))
def test_a_withdrawal_is_valid_or_refused(body):
    said, status = _tell(b"/instances/i-1/deregister", body)
    assert status == (200 if said else 400)
    assert all(0 <= born_ms <= _MAX_COUNT for born_ms in said)


@_EXAMPLES
@hypothesis.given(document=oddentries.documents(fleets.configuration()))
def test_a_configuration_is_valid_or_refused(document):
    try:
        found = configuration.decode(document)
    except errors.InvalidConfigurationError:
        return
    # Daemons tell each other the version as an integer of 64 bits.
    assert 0 <= found.version < 1 << 64
    limits = found.limits
    assert 0 <= limits.header_timeout_s < math.inf
    assert 0 <= limits.idle_timeout_s < math.inf
    for routes in found.routes.values():
        for route in routes:
            assert 0 <= route.timeout_s < math.inf
            assert 0 <= route.target_latency_s < math.inf


@pytest.mark.parametrize(
    "version", ["0" * 17, "f" * 100_000, "-1", "+1", " 1", "1_0", "0x1", ""]
)
def test_a_version_is_of_up_to_16_hexadecimal_digits(version):
    # A larger one couldn't be told to other daemons.
    found = {**fleets.configuration(), "version": version}
    with pytest.raises(errors.InvalidConfigurationError):
        configuration.decode(json.dumps(found).encode())


@_EXAMPLES
@hypothesis.given(value=oddentries.documents(json.loads(oddentries.record())))
def test_a_record_is_valid_or_refused(value):
    try:
        found = presence.decode(store.StoredObject(oddentries.NAME, 1, value))
    except errors.InvalidMessageError:
        return
    assert 1 <= found.statement.port <= 65_535
    assert frames.encode(frames.Hello(found.statement, 1))


@pytest.mark.parametrize(
    "text", ["nans", "infs", "-1ms", "1e999s", "-infms", "nanms", "1e400ms"]
)
def test_a_duration_is_finite_and_not_negative(text):
    with pytest.raises(ValueError):
        names.parse_duration(text)


@pytest.mark.parametrize(
    "odd",
    [
        "[" * 100_000 + "]" * 100_000,
        "[70000, 70001]",
        "[0, 1]",
        "[-1, 1]",
        "[1e999, 1]",
        "[1" + "1" * 400 + ", 1]",
        "[1" + "1" * 5000 + ", 1]",
    ],
    ids=lambda odd: odd[:9],
)
def test_settings_with_odd_ports_are_refused(odd):
    # They are read again while the daemon runs.
    text = _SETTINGS.replace("[7000, 7015]", odd)
    with pytest.raises(errors.InvalidSettingError):
        settings.decode(text)


_SETTINGS = """
nodeName = "vm-1"
ip = "10.1.0.26"
zone = "east"
internalPortRange = [7000, 7015]
heartbeat = "1500ms"
bounds = ["grace=6s"]
appAddr = "10.1.0.26:8547"
service = "huvo11a"
[listenAddrs]
outbound = "10.1.0.26:8548"
ready = "10.1.0.26:8546"
control = "10.1.0.26:8540"
[platform]
address = "10.200.1.7:8545"
"""


@pytest.mark.parametrize(
    "odd", ["70000", "-1", "1" * 400, "1" * 5000, "x", "1.5"]
)
def test_settings_with_an_odd_address_are_refused(odd):
    with pytest.raises(errors.InvalidSettingError):
        settings.decode(_SETTINGS.replace(":8546", f":{odd}"))


def test_the_settings_that_the_odd_ones_are_made_from_are_valid():
    assert settings.decode(_SETTINGS).peer_port == 7000


def test_a_settings_file_that_is_no_text_is_refused(tmp_path):
    path = tmp_path / "local.toml"
    path.write_bytes(b'ip = "\xff"')
    with pytest.raises(errors.InvalidSettingError):
        settings.load(str(path))
