"""Tests of the permit of one operation."""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_core import codes
from fennelhilld.quotas.operation import (
    OperationPermit,
    OverQuotaError,
    QuotaRefusal,
)


class Source:
    def __init__(self, *answers):
        self.answers = list(answers)
        self.now_ms = 0.0
        self.returned = []

    def required(self, organisation):
        return bool(organisation)

    async def acquire(self, organisation):
        return self.answers.pop(0)

    def give_back(self, organisation, expires_ms):
        self.returned.append(expires_ms)

    def boottime_ms(self):
        return self.now_ms


class LeaseModel:
    released = False

    def release(self):
        self.released = True


REFUSAL = QuotaRefusal(codes.QUOTA_EXCEEDED, 20.0)


class TestOperationPermit:
    def test_is_replaced_if_it_expired_during_a_wait_or_a_suspension(self):
        source = Source(300.0, 900.0)
        permit = OperationPermit(source, "o")
        asyncio.run(permit.ensure())
        source.now_ms = 299.0
        asyncio.run(permit.ensure())
        assert permit.send_by_ms == 300.0
        source.now_ms = 700.0
        assert not permit.valid
        asyncio.run(permit.ensure())
        assert permit.send_by_ms == 900.0

    def test_returns_the_link_that_waited_for_it_if_it_is_refused(self):
        # Guards against links that are never released.
        lease = LeaseModel()
        permit = OperationPermit(Source(REFUSAL), "o")
        with pytest.raises(OverQuotaError):
            asyncio.run(permit.ensure(lease))
        assert lease.released

    def test_goes_back_once_and_only_if_nothing_was_sent(self):
        # Guards against two operations under one permit.
        source = Source(300.0, 300.0, 300.0)
        unsent, sent, refused = (OperationPermit(source, "o") for _ in range(3))
        for permit in (unsent, sent, refused):
            asyncio.run(permit.ensure())
        sent.use()
        sent.use()
        sent.unused()
        refused.use()
        refused.unused()
        for permit in (unsent, sent, refused) * 2:
            permit.close()
        assert source.returned == [300.0, 300.0]

    def test_is_not_asked_for_without_an_organisation(self):
        permit = OperationPermit(Source(), "")
        asyncio.run(permit.ensure())
        assert permit.valid
