"""The example deployments: valid, and run end to end by the demonstration."""

import json

import pytest

from examples import demo
from examples import deployments
from examples.directorate import deployment as directorate
from examples.kitakaze import deployment as kitakaze
from savorybend.internal import documents
from savorybend.internal import keys

_DEPLOYMENTS = (kitakaze.DEPLOYMENT, directorate.DEPLOYMENT)


@pytest.mark.parametrize("deployment", _DEPLOYMENTS, ids=lambda d: d.name)
def test_an_example_prints_a_valid_configuration(deployment):
    stored = {
        account.name: keys.create(account.name).stored
        for account in deployment.client_accounts
    }
    printed = deployments.describe(deployment, stored).to_json()
    document = documents.decode(printed.encode())
    assert len(document["client_accounts"]) == 8
    assert json.loads(printed)["services"].keys() == {
        service.name for service in deployment.services
    }


@pytest.mark.asyncio
async def test_the_demonstration_runs_calls_and_stops_cleanly(capsys):
    assert await demo.demonstrate(kitakaze.DEPLOYMENT)
    printed = capsys.readouterr().out
    assert "outcome   ran" in printed
    assert "every daemon stopped cleanly: True" in printed
