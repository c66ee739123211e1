"""Calls that wait for tokens are refused for their account's rate alone."""

import asyncio

from savorybend.internal import outcomes
from savorybend.internal import spending
from savorybend.internal import timers
from savorybend.internal.wire import limits as messages
from tests import fakes

_VALID_S = 0.3


class _Lenders:
    """One allocator that always answers."""

    own = "allocator"
    silent = ""
    taking_over = False

    def choose(self):
        return [self.own]

    def note_answer(self):
        pass

    def note_unanswered(self, allocator):
        pass


class _Place:
    def __init__(self):
        self.clock = fakes.create_clock()
        self.timers = timers.create_manual_timer_service(self.clock)
        self.asked = []
        self.spender = spending.create_spender(
            spending.Dependencies(
                clock=self.clock,
                timers=self.timers,
                lenders=_Lenders(),
                send=lambda peer, message: self.asked.extend(message.asks),
            )
        )

    def lend(self):
        """Answers the question that is open; returns whether there was one."""
        self.timers.run_due()
        asked, self.asked = self.asked, []
        loans = tuple(
            messages.Loan(
                ask.sequence, ask.client_account, ask.tokens, _VALID_S, 0.0
            )
            for ask in asked
        )
        self.spender.on_loan(messages.TokenLoan(loans))
        return bool(loans)


async def test_a_token_that_lapsed_in_a_pause_does_not_refuse_its_call():
    # One call in 120, inside its account's rate on a busy machine, was told
    # that it was limited: its token was lent, and lapsed before it was spent.
    place = _Place()
    deadline_s = place.clock.now_s() + 5.0
    call = asyncio.create_task(place.spender.take("maruyama", deadline_s))
    await asyncio.sleep(0)
    assert place.lend()
    place.clock.advance(_VALID_S + 0.1)
    for _ in range(3):
        await asyncio.sleep(0)
    assert not call.done()
    assert place.lend()
    assert await call is outcomes.ADMIT


async def test_a_call_whose_time_is_over_with_its_token_is_refused():
    place = _Place()
    deadline_s = place.clock.now_s() + _VALID_S
    call = asyncio.create_task(place.spender.take("maruyama", deadline_s))
    await asyncio.sleep(0)
    assert place.lend()
    place.clock.advance(_VALID_S + 0.1)
    assert isinstance(await call, outcomes.Refuse)
