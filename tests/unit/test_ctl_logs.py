"""Tests of the log commands: merging lines, finding requests, clock skew."""

import pytest

from savorybend.internal import errors
from savorybend.internal.ctl import commands
from savorybend.internal.ctl import exits
from savorybend.internal.ctl import logs


def _line(at, daemon, event, **fields):
    stamp = f"2026-01-03T12:20:{at:09.6f}Z"
    rest = "".join(f" {name}={value}" for name, value in fields.items())
    return f"timestamp={stamp} level=info event={event}{rest} daemon={daemon}\n"


@pytest.fixture
def folder(tmp_path):
    (tmp_path / "vm-1.log").write_text(
        _line(1.0, "vm-1", "daemon_started")
        + _line(5.0, "vm-1", "call_sent_elsewhere", request_id="r-1", asked="a")
        + _line(5.2, "vm-1", "call_refused", request_id="r-1", asked="a,b")
        + _line(5.3, "vm-1", "call_refused", request_id="r-2", asked="b")
    )
    (tmp_path / "a.log").write_text(
        "Traceback of something else\n"
        + _line(4.9, "a", "backend_server_changed", state="draining")
        + _line(30.0, "a", "backend_server_changed", state="ready")
    )
    (tmp_path / "c.log").write_text(_line(5.1, "c", "record_kept", serial=9))
    return tmp_path


def _said(function, *arguments):
    lines = []
    result = function(*arguments, lines.append)
    return result, lines


def test_a_request_is_shown_with_what_those_it_asked_believed_then(folder):
    seen, said = _said(logs.show_request, str(folder), "r-1")
    assert seen
    assert [logs.parse(text).event for text in said] == [
        "backend_server_changed",
        "call_sent_elsewhere",
        "call_refused",
    ]


def test_a_request_without_lines_is_said_to_have_none_and_why(folder):
    seen, said = _said(logs.show_request, str(folder), "r-9")
    assert not seen
    assert "r-9" in said[0]
    assert "left out" in said[0]


def test_lines_of_many_files_come_in_the_order_of_time(folder):
    said = []
    logs.merge(str(folder), said.append, False)
    times = [logs.parse(text).time_s for text in said]
    assert times == sorted(times)
    assert len(times) == 7


def test_lines_about_single_requests_can_be_left_out(folder):
    said = []
    logs.merge(str(folder), said.append, True)
    assert len(said) == 4


def _change(at, daemon, ahead_s=0.0):
    """Returns a state change as logged by its daemon and by two others."""
    state = {"instance": f"i-{at}", "state": "ready"}
    told = {"peer": daemon, "source": daemon, **state}
    others = [name for name in ("vm-1", "vm-2", "vm-3") if name != daemon]
    skews = {"vm-1": 2.0}
    return _line(
        at + ahead_s, daemon, "backend_server_changed", **state
    ) + "".join(
        _line(at + skews.get(name, 0.0) + 0.01, name, "daemon_learned", **told)
        for name in others
    )


def test_a_clock_that_is_ahead_is_said(tmp_path):
    (tmp_path / "all.log").write_text(
        "".join(
            _change(at, "vm-1", ahead_s=2.0) + _change(at + 0.1, "vm-2")
            for at in range(10, 15)
        )
    )
    found = logs.skews(logs.read(str(tmp_path)))
    assert found[0].daemon == "vm-1"
    assert round(found[0].ahead_s, 1) == 2.0
    said = []
    logs.merge(str(tmp_path), said.append, True)
    assert "2.0 s ahead" in said[0]


def test_what_a_daemon_learns_at_its_start_says_nothing_of_clocks(tmp_path):
    # A restarted daemon learns old states. When these were compared with the
    # time of the change, synchronized clocks were reported to be 18 s apart.
    state = {"instance": "i-1", "state": "ready"}
    (tmp_path / "all.log").write_text(
        _line(1.0, "vm-1", "backend_server_changed", **state)
        + _line(20.0, "vm-2", "daemon_started")
        + _line(
            20.1,
            "vm-2",
            "daemon_learned",
            peer="vm-1",
            source="vm-1",
            **state,
        )
    )
    assert logs.skews(logs.read(str(tmp_path))) == []


def test_a_value_with_blanks_is_one_value():
    line = logs.parse(
        "timestamp=2026-01-03T12:20:19Z event=backend_server_changed "
        'reason="takes no connection" daemon=vm-1'
    )
    assert line.fields["reason"] == "takes no connection"


def test_a_folder_without_logs_is_refused_with_the_remedy(tmp_path):
    with pytest.raises(errors.InvalidSettingError, match="standard output"):
        logs.read(str(tmp_path))


def test_the_command_says_by_its_exit_code_whether_there_are_lines(
    folder, capsys
):
    show = ["logs", "request", "r-1", str(folder)]
    assert commands.run(show) == exits.OK
    assert "call_refused" in capsys.readouterr().out
    assert commands.run(["logs", "request", "r-9", str(folder)]) != exits.OK
    assert commands.run(["logs", "merge", str(folder)]) == exits.OK
    assert commands.run(["logs", "merge", str(folder / "x")]) == exits.USAGE
