"""From a line of the log to what came before an answer on its connection."""

import structlog

from savorybend.relay import answerlog
from savorybend.relay import bytebudget
from savorybend.relay import responselimits
from savorybend.relay import upstream
from tests.relay import transports

_ANSWER = b"HTTP/1.1 %d X\r\nId: %s\r\nContent-Length: 1\r\n\r\na"
_PLACE = answerlog.Place(connection=4, request=2, surplus=1)


class _Observer:
    def __init__(self):
        self.seen = []

    def on_surplus(self, connection, request_id, cause, response):
        self.seen.append((connection.place, request_id, cause, response.status))


def _connection(observer):
    connection = upstream.ServerConnection(
        lambda idle: None,
        lambda ended: None,
        responselimits.Limits(),
        bytebudget.create_budget(1 << 24),
        7,
        observer,
    )
    connection.connection_made(transports.RecordingTransport())
    return connection


def _send(connection, request_id, got):
    connection.send(
        b"request",
        upstream.PendingRequest(
            transports.match(request_id),
            got.append,
            request_id.decode(),
        ),
    )


def test_an_answer_of_another_request_is_told_with_its_place():
    observer, got = _Observer(), []
    connection = _connection(observer)
    _send(connection, b"1", got)
    connection.data_received(_ANSWER % (200, b"1"))
    _send(connection, b"2", got)
    connection.data_received(_ANSWER % (200, b"1") + _ANSWER % (500, b"2"))
    place = answerlog.Place(connection=7, request=2, surplus=1)
    cause = answerlog.OF_ANOTHER_REQUEST
    assert observer.seen == [(place, "2", cause, 200)]
    assert got[1].status == 500
    assert connection.place == place


def test_an_answer_that_nobody_waits_for_is_told():
    observer = _Observer()
    connection = _connection(observer)
    _send(connection, b"1", [])
    connection.data_received(_ANSWER % (200, b"1"))
    connection.data_received(_ANSWER % (200, b"1"))
    [(place, request_id, cause, _)] = observer.seen
    assert (place.request, request_id) == (1, "")
    assert cause == answerlog.WITHOUT_REQUEST


def test_a_connection_knows_the_ids_that_it_carried():
    connection = _connection(_Observer())
    assert not connection.carried("1")
    _send(connection, b"1", [])
    assert connection.carried("1")


def test_an_answer_has_a_line_only_after_a_surplus_one():
    log = answerlog.create_answer_log()
    with structlog.testing.capture_logs() as lines:
        log.note_answer(_PLACE._replace(surplus=0), "1", 200)
        log.note_answer(_PLACE, "2", 500)
    [line] = lines
    assert (line["event"], line["request_id"]) == ("answer_after_surplus", "2")
    assert (line["connection"], line["position"]) == (4, 2)


def test_unusable_answers_are_counted_by_a_bounded_number_of_causes():
    log = answerlog.create_answer_log()
    for number in range(200):
        log.note_garbled(_PLACE, "1", f"error {number}")
    assert sum(log.counts.values()) == 200
    assert len(log.counts) <= 51
