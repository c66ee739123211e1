"""Tests of the command lines: help, tables, exit codes and error messages."""

import sys

import pytest

from savorybend import ctl
from savorybend import daemon
from savorybend.internal import settings
from savorybend.internal.ctl import commands
from savorybend.internal.ctl import exits
from savorybend.internal.ctl import tables

_ROWS = [
    {"client_account": "otaru", "calls": 40, "median_ms": 1.5},
    {"client_account": "maruyama", "calls": 7, "median_ms": 12.0},
]


@pytest.fixture(autouse=True)
def _fixed_width(monkeypatch):
    monkeypatch.setenv("COLUMNS", "80")
    for variable in (
        "SAVORYBEND_PLATFORM_URL",
        "SAVORYBEND_DAEMON",
        "SAVORYBEND_ADMIN_KEY",
    ):
        monkeypatch.delenv(variable, raising=False)


def test_the_daemons_help(snapshot):
    assert settings.create_parser().format_help() == snapshot


def test_the_tools_help(snapshot):
    assert commands.create_parser().format_help() == snapshot


def test_a_table_has_a_line_for_each_row(snapshot):
    assert tables.render(_ROWS, as_json=False) == snapshot


def test_programs_get_json(snapshot):
    assert tables.render(_ROWS, as_json=True) == snapshot


def test_what_is_no_request_id_is_refused(capsys):
    # An empty request ID used to cause a traceback.
    with pytest.raises(SystemExit) as ended:
        commands.run(["request", "show", ""])
    assert ended.value.code == exits.USAGE
    assert "Savorybend-Request-Id" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "code", "said"),
    [
        (["config", "show"], exits.USAGE, "--platform-url"),
        (["daemons"], exits.USAGE, "--daemon"),
        (["--daemon", "nowhere", "daemons"], exits.USAGE, "IP number"),
        (["--daemon", "127.0.0.1:1", "daemons"], exits.USAGE, "ADMIN_KEY"),
        (["config", "check", "no-such-file"], exits.FAILED, "no-such-file"),
    ],
)
def test_a_fault_has_its_exit_code_and_remedy(
    monkeypatch, capsys, arguments, code, said
):
    monkeypatch.setattr(sys, "argv", ["savorybendctl", *arguments])
    assert ctl.main() == code
    assert said in capsys.readouterr().err


def test_a_daemon_without_settings_names_the_first_missing(monkeypatch, capsys):
    monkeypatch.setattr(sys, "argv", ["savorybendd"])
    monkeypatch.delenv("SAVORYBEND_NAME", raising=False)
    assert daemon.main() == daemon.EXIT_USAGE
    assert "--name (SAVORYBEND_NAME) is missing" in capsys.readouterr().err
