"""Tests that flags override variables and that errors name the setting."""

import pytest

from savorybend.internal import errors
from savorybend.internal import settings

_ENVIRONMENT = {
    "SAVORYBEND_NAME": "ledger-1",
    "SAVORYBEND_DATA_CENTRE": "sapporo-a",
    "SAVORYBEND_SERVICE": "ledger",
    "SAVORYBEND_CALL_ADDRESS": "127.0.0.1:7000",
    "SAVORYBEND_LOCAL_ADDRESS": "127.0.0.1:7001",
    "SAVORYBEND_PEER_ADDRESS": "127.0.0.1:7002",
    "SAVORYBEND_ADMIN_ADDRESS": "127.0.0.1:7003",
    "SAVORYBEND_PLATFORM_URL": "http://127.0.0.1:7100",
    "SAVORYBEND_FLEET_SECRET": "s" * 16,
    "SAVORYBEND_ADMIN_KEY": "a" * 16,
}


def test_a_flag_goes_before_its_variable():
    found = settings.load(["--name", "ledger-2"], _ENVIRONMENT)
    assert found.name == "ledger-2"
    assert found.data_centre == "sapporo-a"


@pytest.mark.parametrize(
    ("variable", "value"),
    [
        ("NAME", "Ledger 1"),
        ("CALL_ADDRESS", "localhost:7000"),
        ("PEER_ADDRESS", "127.0.0.1:0"),
        ("PLATFORM_URL", "127.0.0.1:7100"),
        ("SEEDS", "127.0.0.1"),
        ("FLEET_SECRET", "short"),
        ("DRAIN_TIMEOUT_S", "nan"),
        ("JOURNAL_ENTRIES", "-5"),
        ("LOG_LEVEL", "loud"),
        ("SERVICE", None),
    ],
)
def test_a_fault_names_the_setting(variable, value):
    name = f"SAVORYBEND_{variable}"
    environment = {**_ENVIRONMENT, name: value}
    if value is None:
        del environment[name]
    with pytest.raises(errors.InvalidSettingError, match=name):
        settings.load([], environment)


def test_a_secret_is_not_shown_in_its_error():
    environment = {**_ENVIRONMENT, "SAVORYBEND_ADMIN_KEY": "hunter2"}
    with pytest.raises(errors.InvalidSettingError) as caught:
        settings.load([], environment)
    assert "hunter2" not in str(caught.value)
