"""Decoding of the platform's formats; invalid input is refused."""

import json

import pytest

from savorybend.internal import errors
from savorybend.platform import announcements
from savorybend.platform import configuration
from savorybend.platform import headers
from savorybend.platform import names
from savorybend.platform import settings
from savorybend.relay import bytebudget
from savorybend.relay import callers
from savorybend.relay import calls
from savorybend.relay import exchanges
from savorybend.relay import outcomes
from savorybend.relay import responseparser
from tests import fakes
from tests.platform import fleets
from tests.relay import samples
from tests.relay import transports

_SETTINGS = """
nodeName = "vm-1"
ip = "10.1.0.26"
zone = "east"
internalPortRange = [7000,7015]
heartbeat = "1500ms"
bounds = ["grace=6s","drain=2000ms","retryBudgetRatio=0.2","quotaSlack=20"]
appAddr = "10.1.0.26:8547"
service = "huvo11a"
something = "new"
[listenAddrs]
inbound = "10.1.0.26:8543"
outbound = "10.1.0.26:8548"
ready = "10.1.0.26:8546"
control = "10.1.0.26:8540"
[limits]
maxFds = 4100
[platform]
address = "10.200.1.7:8545"
"""


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_a_time_is_a_number_and_its_unit(text, seconds):
    assert names.parse_duration(text) == seconds


@pytest.mark.parametrize("text", ["5", "5m", "s", 5])
def test_what_is_no_time_is_refused_with_an_example(text):
    with pytest.raises(ValueError):
        names.parse_duration(text)


def test_the_settings_file_is_read_and_what_is_not_known_is_ignored():
    found = settings.decode(_SETTINGS)
    assert found.name == "vm-1"
    assert found.peer_port == 7000
    assert found.announcement_interval_s == 1.5
    assert found.grace_s == 6.0
    assert found.retry_ratio == 0.2
    assert found.max_descriptors == 4100


@pytest.mark.parametrize(
    "wrong",
    [
        _SETTINGS.replace('"1500ms"', '"soon"'),
        _SETTINGS.replace("[7000,7015]", "[]"),
        _SETTINGS.replace('ip = "10.1.0.26"', ""),
        _SETTINGS.replace("retryBudgetRatio=0.2", "retryBudgetRatio=few"),
        "not toml at all",
    ],
)
def test_wrong_settings_are_refused_with_the_remedy(wrong):
    with pytest.raises(errors.InvalidSettingError, match="correct the field"):
        settings.decode(wrong)


def test_a_missing_settings_file_names_the_variable():
    with pytest.raises(errors.InvalidSettingError, match="SAVORYBEND_CONFIG"):
        settings.load("/nowhere/local.toml")


def test_a_configuration_is_decoded_into_routes_accounts_and_limits():
    document = json.dumps(fleets.configuration(version=0x1D)).encode()
    found = configuration.decode(document)
    assert found.version == 0x1D
    assert found.keys == {fleets.KEY: "maruyama"}
    assert found.find(fleets.HOST, "/posts/1").idempotent is False
    assert found.find(fleets.HOST, "/reads/1").timeout_s == 3.0
    assert found.find(fleets.HOST, "/elsewhere/") is calls.NO_ROUTE
    assert found.limits.idle_timeout_s == 15.0


def test_the_longest_prefix_wins():
    routes = {
        "short": {"pathPrefix": "/a/", "type": "idempotent"},
        "long": {"pathPrefix": "/a/b/", "type": "upload"},
    }
    document = json.dumps(fleets.configuration(routes=routes)).encode()
    found = configuration.decode(document)
    assert found.find(fleets.HOST, "/a/b/c").name == "long"
    assert found.find(fleets.HOST, "/a/c").name == "short"


def test_an_upload_may_run_only_once():
    routes = {"photos": {"pathPrefix": "/p/", "type": "upload"}}
    document = json.dumps(fleets.configuration(routes=routes)).encode()
    assert (
        not configuration.decode(document).find(fleets.HOST, "/p/").idempotent
    )


@pytest.mark.parametrize(
    "document",
    [b"", b"[]", b'{"version":"zz","resources":[]}', b'{"version":"01"}'],
)
def test_what_is_no_configuration_is_refused(document):
    with pytest.raises(errors.InvalidConfigurationError):
        configuration.decode(document)


def _response(status=200, **changed):
    found = {
        b"request-id": b"r-1",
        b"response-signature": b"s",
        b"content-length": b"4",
        b"server-load": b"1,0,8",
        b"x-other": b"kept",
    }
    found.update(
        (name.replace("_", "-").encode(), value)
        for name, value in changed.items()
    )
    pairs = [(name, value) for name, value in found.items() if value]
    return responseparser.Response(status, pairs, b"body")


def test_a_success_is_passed_on_with_its_signature():
    outcome = headers.Backend().decode("r-1", _response())
    assert outcome.status == 200
    assert b"response-signature: s\r\n" in outcome.head
    assert b"x-other: kept\r\n" in outcome.head
    assert b"content-length" not in outcome.head
    assert b"server-load" not in outcome.head


@pytest.mark.parametrize(
    "response",
    [
        _response(response_signature=b""),
        _response(request_id=b""),
        _response(content_encoding=b"gzip"),
    ],
)
def test_a_success_that_is_not_whole_is_lost(response):
    assert isinstance(headers.Backend().decode("r-1", response), outcomes.Lost)


def test_what_was_not_executed_did_not_run_but_arrived():
    response = _response(503, not_executed=b"1")
    outcome = headers.Backend().decode("r-1", response)
    assert outcome.reason == outcomes.SHED
    assert outcome.arrived


def test_another_instance_did_not_run_it():
    outcome = headers.Backend().decode("r-1", _response(421))
    assert outcome.reason == outcomes.NOT_THE_INSTANCE


def test_a_failure_of_the_backend_server_is_its_answer():
    outcome = headers.Backend().decode("r-1", _response(500))
    assert isinstance(outcome, outcomes.Ran)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"timeout=5", 5.0), (b"max=3, timeout = 12", 12.0), (b"max=3", None)],
)
def test_the_idle_time_of_a_connection_is_read(value, seconds):
    assert headers.Backend().idle_timeout_s([(b"keep-alive", value)]) == seconds


def test_a_request_names_the_instance_and_the_time_left():
    call = samples.call(body=b"xy")
    data = headers.Backend().encode_head(call, "i-7", 1.2345)
    assert b"Target-Instance: i-7\r\n" in data
    assert b"Deadline-Ms: 1234\r\n" in data
    assert data.endswith(b"Content-Length: 2\r\n\r\n")


class _Listener:
    def __init__(self):
        self.said = []

    def on_announcement(self, said, acknowledge):
        self.said.append(said)
        acknowledge()

    def on_withdrawal(self, instance, born_ms, acknowledge):
        self.said.append((instance, born_ms))
        acknowledge()


class _Connection:
    closing = False

    def flush(self):
        pass


def _announce(target, body):
    listener = _Listener()
    exchange = exchanges.Exchange(_Connection())
    exchange.target = target
    exchange.body = body
    announcements.create_announcements(listener).handle(exchange)
    return listener.said, int(exchange.answer.split()[1])


_BEAT = {
    "address": "10.0.0.1:80",
    "born": 5,
    "info": {"service": "ledger", "version": "v1", "zone": "z", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "coldRemaining": "1500ms"},
}


def test_an_announcement_is_decoded_and_acknowledged():
    said, status = _announce(
        b"/instances/i-1/heartbeat", json.dumps(_BEAT).encode()
    )
    assert status == 200
    assert said[0].instance == "i-1"
    assert said[0].cold_s == 1.5


def test_a_leave_is_decoded_with_or_without_a_body():
    said, status = _announce(b"/instances/i-1/deregister", b"")
    assert (said, status) == ([("i-1", 0)], 200)
    said, _ = _announce(b"/instances/i-1/deregister", b'{"born":7}')
    assert said == [("i-1", 7)]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        json.dumps({**_BEAT, "info": {}}).encode(),
        json.dumps({**_BEAT, "born": "yesterday"}).encode(),
        json.dumps(
            {**_BEAT, "status": {**_BEAT["status"], "state": "dancing"}}
        ).encode(),
        json.dumps({**_BEAT, "info": {**_BEAT["info"], "slots": 0}}).encode(),
    ],
)
def test_a_forged_announcement_names_no_backend_server(body):
    said, status = _announce(b"/instances/i-1/heartbeat", body)
    assert said == []
    assert status == 400


def test_an_announcement_broken_off_at_any_byte_says_nothing():
    body = json.dumps(_BEAT).encode()
    text = (
        b"POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: h\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    )
    for cut in range(len(text) + 1):
        listener = _Listener()
        handler = announcements.create_announcements(listener).handle
        server = callers.CallerServer(
            handler,
            fakes.create_clock(),
            calls.CallerLimits(),
            bytebudget.create_budget(1 << 28),
        )
        connection = server.create()
        connection.connection_made(transports.RecordingTransport())
        connection.data_received(text[:cut])
        connection.eof_received()
        connection.connection_lost(None)
        assert len(listener.said) == (cut == len(text))


def test_another_path_is_not_found():
    assert _announce(b"/elsewhere", b"")[1] == 404
