"""Lenders and gateways that break a limit, each in one way."""

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from features.support import quota_model
from features.support.quota_model import World
from yarrowwall.clocks import Clock
from yarrowwall.messages.quotas import QuotaLent, TenantLimit
from yarrowwall.quotas.entitlement import Entitlement, ViewConfirmation
from yarrowwall.quotas.lender import Lender, Outcome
from yarrowwall.quotas.terms import CREDIT_SECONDS, QuotaTerms

_take = Lender.take
_take_view = Entitlement.take_view


def _answer_before_disk(self: Lender, request: Any, clock: Clock) -> Outcome:
    return _take(self, request, clock)._replace(persist=None)


def _forget(self: Lender, record: QuotaLent, clock: Clock) -> None:
    return None


def _lend_at_once(self: Entitlement, view: Any, now_s: float) -> None:
    _take_view(self, view, now_s)
    if self._from_s is not None:
        self._from_s = min(self._from_s, now_s)


def _need_no_vouchers(
    self: Entitlement, vouchers: Mapping[str, ViewConfirmation], now_s: float
) -> bool:
    return self._from_s is not None and now_s >= self._from_s


def _from_answer(world: World, asked_s: float) -> float:
    return CREDIT_SECONDS


def _by_time_of_day(self: Clock, wall_s: float, steady_s: float) -> float:
    return max(0.0, self.wall_s - wall_s)


def _whole_limit(self: QuotaTerms, limit: TenantLimit, lenders: int, rank: int) -> int:
    return int(self.most(limit) / (lenders - 1))


def _new_rank_at_once(self: Entitlement, tenant: str, now_s: float) -> int:
    return self._place(self._view, tenant)


#: What each mutant replaces.
MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a lender answers before its disk has it": lambda: patch.object(
        Lender, "take", _answer_before_disk
    ),
    "a lender forgets when it starts anew": lambda: patch.object(Lender, "restore", _forget),
    "what was lent counts for the window alone": lambda: patch.object(
        QuotaTerms, "lent_s", property(lambda self: self.window_s)
    ),
    "whoever joins lends at once": lambda: patch.object(Entitlement, "take_view", _lend_at_once),
    "a lender needs no vouchers": lambda: patch.object(Entitlement, "holds", _need_no_vouchers),
    "credits count from the answer": lambda: patch.object(
        quota_model, "credit_left_s", _from_answer
    ),
    "ages go by the time of day alone": lambda: patch.object(Clock, "age_s", _by_time_of_day),
    "a better rank counts at once": lambda: patch.object(Entitlement, "rank", _new_rank_at_once),
    "the parts are too large": lambda: patch.object(QuotaTerms, "share", _whole_limit),
}
