"""Admission of new programs by service, over the sums of the load board. No I/O."""

from yarrowwall.capacity.load_board import LoadBoard
from yarrowwall.messages.capacity import AskRoom, ReturnRoom, RoomReply
from yarrowwall.policy.program_admission import ProgramAdmission

#: Services that are remembered; beyond it the one asked for longest ago is forgotten.
MAX_SERVICES = 200


class AdmissionBoard:
    """Decides which new programs may begin."""

    def __init__(self) -> None:
        self._services: dict[str, ProgramAdmission] = {}

    def decide(self, ask: AskRoom, loads: LoadBoard, now_s: float) -> RoomReply:
        """Return whether a program may begin, or when it should come back."""
        # The one asked for last stands last.
        admission = self._services.pop(ask.service, None) or ProgramAdmission()
        self._services[ask.service] = admission
        if len(self._services) > MAX_SERVICES:
            del self._services[next(iter(self._services))]
        return admission.decide(ask, loads.reported_programs(ask.service), now_s)

    def cancel(self, told: ReturnRoom) -> None:
        """Take in that an admitted program did not begin."""
        admission = self._services.get(told.service)
        if admission is not None:
            admission.cancel(told.program, told.tenant)
