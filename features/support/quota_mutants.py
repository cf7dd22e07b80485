"""Lenders and gateways that break a limit, each in one way."""

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from features.support import quota_model
from features.support.quota_model import World
from yarrowwall.clocks import Clock
from yarrowwall.messages.quotas import QuotaLent, TenantLimit
from yarrowwall.quotas.issuer_lease import IssuerLease, ViewConfirmation
from yarrowwall.quotas.permit_issuer import Outcome, PermitIssuer
from yarrowwall.quotas.quota_rules import PERMIT_SECONDS, QuotaRules

_take = PermitIssuer.issue
_install_view = IssuerLease.install_view


def _answer_before_disk(self: PermitIssuer, request: Any, clock: Clock) -> Outcome:
    return _take(self, request, clock)._replace(persist=None)


def _forget(self: PermitIssuer, record: QuotaLent, clock: Clock) -> None:
    return None


def _lend_at_once(self: IssuerLease, view: Any, now_s: float) -> None:
    _install_view(self, view, now_s)
    if self._from_s is not None:
        self._from_s = min(self._from_s, now_s)


def _need_no_vouchers(
    self: IssuerLease, confirmations: Mapping[str, ViewConfirmation], now_s: float
) -> bool:
    return self._from_s is not None and now_s >= self._from_s


def _from_answer(world: World, asked_s: float) -> float:
    return PERMIT_SECONDS


def _by_time_of_day(self: Clock, wall_s: float, steady_s: float) -> float:
    return max(0.0, self.wall_s - wall_s)


def _whole_limit(self: QuotaRules, limit: TenantLimit, issuers: int, rank: int) -> int:
    return int(self.most(limit) / (issuers - 1))


def _new_rank_at_once(self: IssuerLease, tenant: str, now_s: float) -> int:
    return self._place(self._view, tenant)


#: What each mutant replaces.
MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a lender answers before its disk has it": lambda: patch.object(
        PermitIssuer, "issue", _answer_before_disk
    ),
    "a lender forgets when it starts anew": lambda: patch.object(PermitIssuer, "restore", _forget),
    "what was lent counts for the window alone": lambda: patch.object(
        QuotaRules, "counted_s", property(lambda self: self.window_s)
    ),
    "whoever joins lends at once": lambda: patch.object(IssuerLease, "install_view", _lend_at_once),
    "a lender needs no vouchers": lambda: patch.object(IssuerLease, "holds", _need_no_vouchers),
    "credits count from the answer": lambda: patch.object(
        quota_model, "credit_left_s", _from_answer
    ),
    "ages go by the time of day alone": lambda: patch.object(Clock, "age_s", _by_time_of_day),
    "a better rank counts at once": lambda: patch.object(IssuerLease, "rank", _new_rank_at_once),
    "the parts are too large": lambda: patch.object(QuotaRules, "share", _whole_limit),
}
