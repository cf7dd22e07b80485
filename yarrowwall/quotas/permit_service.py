"""Issues permits to gateways, each once its record is on disk."""

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
    """Issues permits from this replica's share of tenants' limits while it holds the lease.

    :param clock: Reads the machine's clocks.
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
        self._was_held = False

    @property
    def _issuer(self) -> PermitIssuer:
        return self._disk.issuer

    @property
    def _lease(self) -> IssuerLease:
        return self._disk.lease

    def issue(self, request: TakeQuota, reply: Callable[[QuotaReply], None]) -> None:
        """Issue permits if this replica may, and reply once they are on disk."""
        clock = self._clock()
        is_addressed = request.disk_id == self._disk.replica.disk_id
        if not is_addressed or request.group != self._lease.group:
            reply(NOT_ENTITLED)
            return
        if not self._is_lease_held(clock.steady_s):
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
        """Take back a permit that a gateway did not use."""
        if request.disk_id == self._disk.replica.disk_id:
            self._issuer.return_permit(request)

    def _is_lease_held(self, now_s: float) -> bool:
        is_held = self._lease.is_held(self._peers.confirmations(), now_s)
        if is_held != self._was_held:
            self._was_held = is_held
            self._log.write(decisions.LendingChanged(self._disk.replica.epoch, is_held))
        return is_held

    def record_begun(self) -> None:
        """Record on disk that issuing has begun, so that a restart does not have to wait again."""
        epoch = self._lease.begin(self._clock().steady_s)
        if epoch is not None:
            self._disk.persist([LendingBegun(epoch)])

    def drop_expired(self) -> None:
        """Drop tenants without permits or programs that still count."""
        self._issuer.drop_idle(self._clock().steady_s)
