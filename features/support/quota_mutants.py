"""Mutants of issuers and gateways, each of which breaks a limit in one way."""

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

_issue = PermitIssuer.issue
_install_view = IssuerLease.install_view


def _answer_before_disk(self: PermitIssuer, request: Any, clock: Clock) -> Outcome:
    return _issue(self, request, clock)._replace(persist=None)


def _forget(self: PermitIssuer, record: QuotaLent, clock: Clock) -> None:
    return None


def _issue_at_once(self: IssuerLease, view: Any, now_s: float) -> None:
    _install_view(self, view, now_s)
    if self._issue_from_s is not None:
        self._issue_from_s = min(self._issue_from_s, now_s)


def _need_no_confirmations(
    self: IssuerLease, confirmations: Mapping[str, ViewConfirmation], now_s: float
) -> bool:
    return self._issue_from_s is not None and now_s >= self._issue_from_s


def _valid_from_answer(world: World, asked_s: float) -> float:
    return PERMIT_SECONDS


def _by_time_of_day(self: Clock, wall_s: float, steady_s: float) -> float:
    return max(0.0, self.wall_s - wall_s)


def _larger_share(self: QuotaRules, limit: TenantLimit, issuers: int, rank: int) -> int:
    return int(self.max_requests(limit) / (issuers - 1))


def _new_rank_at_once(self: IssuerLease, tenant: str, now_s: float) -> int:
    return self._rank_in(self._view, tenant)


#: The patch that applies each mutant.
MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "an issuer answers before its record is on disk": lambda: patch.object(
        PermitIssuer, "issue", _answer_before_disk
    ),
    "an issuer forgets its permits on a restart": lambda: patch.object(
        PermitIssuer, "restore", _forget
    ),
    "permits count for one window only": lambda: patch.object(
        QuotaRules, "counted_s", property(lambda self: self.window_s)
    ),
    "a joining replica issues at once": lambda: patch.object(
        IssuerLease, "install_view", _issue_at_once
    ),
    "an issuer needs no confirmations": lambda: patch.object(
        IssuerLease, "is_held", _need_no_confirmations
    ),
    "permits are valid from the answer on": lambda: patch.object(
        quota_model, "permit_left_s", _valid_from_answer
    ),
    "ages are measured by the time of day only": lambda: patch.object(
        Clock, "age_s", _by_time_of_day
    ),
    "a better rank counts at once": lambda: patch.object(IssuerLease, "rank", _new_rank_at_once),
    "the shares are too large": lambda: patch.object(QuotaRules, "share", _larger_share),
}
