"""Checks that waiting calls are refused only because of the account's rate."""

import asyncio

from savorybend.internal import outcomes
from savorybend.internal import spending
from savorybend.internal import timers
from savorybend.internal.wire import limits as messages
from tests import fakes

_VALID_S = 0.3


class _Lenders:
    """Fake lenders: a single allocator that always answers."""

    own = "allocator"
    silent = ""
    taking_over = False

    def choose(self):
        return [self.own]

    def note_answer(self):
        pass

    def note_unanswered(self, allocator):
        pass


class _Fixture:
    def __init__(self):
        self.clock = fakes.create_clock()
        self.timers = timers.create_manual_timer_service(self.clock)
        self.requests = []
        self.spender = spending.create_spender(
            spending.Dependencies(
                clock=self.clock,
                timers=self.timers,
                lenders=_Lenders(),
                send=lambda peer, message: self.requests.extend(message.asks),
            )
        )

    def lend(self):
        """Answers the open requests; returns whether there were any."""
        self.timers.run_due()
        requests, self.requests = self.requests, []
        loans = tuple(
            messages.Loan(
                request.sequence,
                request.client_account,
                request.tokens,
                _VALID_S,
                0.0,
            )
            for request in requests
        )
        self.spender.on_loan(messages.TokenLoan(loans))
        return bool(loans)


async def test_a_token_that_lapsed_in_a_pause_does_not_refuse_its_call():
    # A pause of the process, as on a busy machine, lets a lent token expire
    # before it is spent. The call must wait for another token: without that, 1
    # of 120 calls within the account's rate was refused as limited.
    fixture = _Fixture()
    deadline_s = fixture.clock.now_s() + 5.0
    call = asyncio.create_task(fixture.spender.take("maruyama", deadline_s))
    await asyncio.sleep(0)
    assert fixture.lend()
    fixture.clock.advance(_VALID_S + 0.1)
    for _ in range(3):
        await asyncio.sleep(0)
    assert not call.done()
    assert fixture.lend()
    assert await call is outcomes.ADMIT


async def test_a_call_whose_time_is_over_with_its_token_is_refused():
    fixture = _Fixture()
    deadline_s = fixture.clock.now_s() + _VALID_S
    call = asyncio.create_task(fixture.spender.take("maruyama", deadline_s))
    await asyncio.sleep(0)
    assert fixture.lend()
    fixture.clock.advance(_VALID_S + 0.1)
    assert isinstance(await call, outcomes.Refuse)
