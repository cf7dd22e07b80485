"""The process side of a lender: answers gateways once what it lends is on disk."""

from collections.abc import Callable

from yarrowwall import decisions
from yarrowwall.clocks import Clock, read_clock
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.quotas import LendingBegun, QuotaReply, ReturnQuota, TakeQuota
from yarrowwall.quotas.issuer_lease import IssuerLease
from yarrowwall.quotas.permit_issuer import NOT_ENTITLED, PermitIssuer
from yarrowwall.quotas.replica_disk import ReplicaDisk
from yarrowwall.replication.peers import ReplicaPeers


class PermitService:
    """Lends this replica's part of tenants' limits while it is entitled to.

    :param clock: reads the machine's clocks.
    """

    def __init__(
        self,
        disk: ReplicaDisk,
        peers: ReplicaPeers,
        log: DecisionLog,
        clock: Callable[[], Clock] = read_clock,
    ) -> None:
        self._disk = disk
        self._peers = peers
        self._log = log
        self._clock = clock
        self._was_entitled = False

    @property
    def _issuer(self) -> PermitIssuer:
        return self._disk.issuer

    @property
    def _lease(self) -> IssuerLease:
        return self._disk.lease

    def issue(self, request: TakeQuota, reply: Callable[[QuotaReply], None]) -> None:
        """Lend if this replica may, and answer."""
        clock = self._clock()
        is_meant = request.disk_id == self._disk.replica.disk_id
        if not is_meant or request.group != self._lease.group:
            reply(NOT_ENTITLED)
            return
        if not self._is_entitled(clock.steady_s):
            reply(NOT_ENTITLED)
            return
        outcome = self._issuer.issue(request, clock)
        if outcome.persist is None:
            reply(outcome.reply)
            return
        self._disk.persist(
            [outcome.persist],
            lambda: reply(outcome.reply),
            lambda: reply(NOT_ENTITLED),
        )

    def return_permit(self, request: ReturnQuota) -> None:
        """Take back what a gateway did not use."""
        if request.disk_id == self._disk.replica.disk_id:
            self._issuer.return_permit(request)

    def _is_entitled(self, now_s: float) -> bool:
        is_entitled = self._lease.holds(self._peers.confirmations(), now_s)
        if is_entitled != self._was_entitled:
            self._was_entitled = is_entitled
            self._log.write(decisions.LendingChanged(self._disk.replica.epoch, is_entitled))
        return is_entitled

    def record_begun(self) -> None:
        """Note on disk that lending has begun, so that a new start need not wait again."""
        epoch = self._lease.begin(self._clock().steady_s)
        if epoch is not None:
            self._disk.persist([LendingBegun(epoch)])

    def drop_expired(self) -> None:
        """Forget what counts no more."""
        self._issuer.drop_idle(self._clock().steady_s)
