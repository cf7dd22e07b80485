"""Admission of new programs by service, based on the load board. No I/O."""

from yarrowwall.capacity.load_board import LoadBoard
from yarrowwall.messages.capacity import AskRoom, ReturnRoom, RoomReply
from yarrowwall.policy.program_admission import ProgramAdmission

#: Maximum number of known services; beyond it the least recently used is dropped.
MAX_SERVICES = 200


class AdmissionBoard:
    """Decides which new programs may begin."""

    def __init__(self) -> None:
        self._services: dict[str, ProgramAdmission] = {}

    def decide(self, ask: AskRoom, loads: LoadBoard, now_s: float) -> RoomReply:
        """Return whether a program may begin, or when it should retry."""
        # Services are ordered by their last use.
        admission = self._services.pop(ask.service, None) or ProgramAdmission()
        self._services[ask.service] = admission
        if len(self._services) > MAX_SERVICES:
            del self._services[next(iter(self._services))]
        return admission.decide(ask, loads.reported_programs(ask.service), now_s)

    def cancel(self, message: ReturnRoom) -> None:
        """Withdraw the admission of a program that did not begin."""
        admission = self._services.get(message.service)
        if admission is not None:
            admission.cancel(message.program, message.tenant)
