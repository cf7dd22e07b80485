"""Which replicas a gateway asks for credits, and in which order. No I/O."""

from collections.abc import Sequence
from typing import NamedTuple

from yarrowwall.hashing import score
from yarrowwall.messages.replicated import Member

#: Seconds for which a replica that did not answer, or may not lend, is asked last: as long as one
#: that was too slow for a quorum.
PASS_OVER_SECONDS = 1.0
#: Most seconds for which a replica without room is asked last: others may give credits back.
MOST_EXHAUSTED_SECONDS = 0.5


class _Place(NamedTuple):
    """A tenant's part at a lender."""

    tenant: str
    disk_id: str


class IssuerOrder:
    """The order in which the lenders of a tenant are asked.

    The own zone comes first, which saves 2.8 ms a question; lenders known to have no room, or
    not to answer, come last.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._silent_until_s: dict[str, float] = {}
        self._exhausted_until_s: dict[_Place, float] = {}

    def candidates(self, members: Sequence[Member], tenant: str, now_s: float) -> list[Member]:
        """Return the lenders worth asking, those first that had better be asked first.

        Of those known to have no room, or not to answer, only one is worth a question, and only
        if there is no other. A tenant far above its limit would cost five for each request, and a
        gateway that is cut off would hold each request for five time-outs (0.35 s were seen).
        """

        def exhausted_until_s(member: Member) -> float:
            until_s = self._exhausted_until_s.get(_Place(tenant, member.disk_id), 0.0)
            return until_s if until_s > now_s else 0.0

        def is_silent(member: Member) -> bool:
            return self._silent_until_s.get(member.disk_id, 0.0) > now_s

        def rank(member: Member) -> tuple[bool, float, bool, int]:
            return (
                is_silent(member),
                exhausted_until_s(member),
                member.zone != self._zone,
                score(tenant, member.disk_id),
            )

        ranked = sorted(members, key=rank)
        able = [one for one in ranked if not is_silent(one) and not exhausted_until_s(one)]
        return able or ranked[:1]

    def is_silent(self, members: Sequence[Member], now_s: float) -> bool:
        """Return whether none of the lenders answered lately."""
        return all(self._silent_until_s.get(one.disk_id, 0.0) > now_s for one in members)

    def home(self, members: Sequence[Member], tenant: str, now_s: float) -> list[Member]:
        """Return the lenders in the order in which all gateways ask them of new programs."""

        def rank(member: Member) -> tuple[bool, int]:
            is_silent = self._silent_until_s.get(member.disk_id, 0.0) > now_s
            return is_silent, score(tenant, member.disk_id)

        return sorted(members, key=rank)

    def note_answered(self, member: Member) -> None:
        """Note that a lender answers, late as it may be."""
        self._silent_until_s.pop(member.disk_id, None)

    def note_silent(self, member: Member, now_s: float) -> None:
        """Note that a lender did not answer, or may not lend."""
        self._silent_until_s[member.disk_id] = now_s + PASS_OVER_SECONDS

    def note_exhausted(self, member: Member, tenant: str, after_s: float, now_s: float) -> None:
        """Note that a lender has room again only after some seconds."""
        until_s = now_s + min(after_s, MOST_EXHAUSTED_SECONDS)
        self._exhausted_until_s[_Place(tenant, member.disk_id)] = until_s

    def forget_past(self, now_s: float) -> None:
        """Forget what is over."""
        self._exhausted_until_s = {
            place: until_s for place, until_s in self._exhausted_until_s.items() if until_s > now_s
        }
