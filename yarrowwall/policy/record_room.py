"""Limits the memory of a storage machine that records take. No I/O.

Records are kept in memory for as long as callers were promised, and callers choose how many
programs they begin. Where there is no room, new programs are refused before they run; programs
under way go on, since a turn that has run and cannot be stored is lost to its caller.
"""

from yarrowwall.policy.memory_budget import share_beyond_idle

_MEGABYTE = 1024 * 1024
#: Share of a machine's memory, beyond that of an idle process, that records may take.
MEMORY_SHARE = 0.8
MIN_BYTES = 4 * _MEGABYTE
#: Memory of a record beside its texts and its value, and of an owner of records.
RECORD_BYTES = 800
OWNER_BYTES = 600
#: Shares of the room from which on reservations of new owners are refused, and all of their
#: records: turns that have reserved must find room at their end.
RESERVATION_WATERMARK = 0.75
NEW_OWNER_WATERMARK = 0.9
#: Records of known owners with values up to this size always find room: they settle what runs.
SMALL_VALUE_BYTES = 512


class RecordRoom:
    """Counts the bytes of all records of a machine.

    :param limit: bytes that they may take; None for no limit.
    :ivar used: bytes that they take.
    """

    def __init__(self, limit: int | None = None) -> None:
        self.limit = limit
        self.used = 0

    @classmethod
    def of_machine(cls, memory_mb: float) -> "RecordRoom":
        """Return the room on a machine with the given memory."""
        return cls(max(share_beyond_idle(memory_mb, MEMORY_SHARE), MIN_BYTES))

    def accepts_reservation(self) -> bool:
        """Return whether a new owner's reservation finds room."""
        return self._is_below(RESERVATION_WATERMARK)

    def accepts_record(self, value_bytes: int, is_known_owner: bool) -> bool:
        """Return whether a record finds room.

        :param value_bytes: size of its value.
        """
        if is_known_owner:
            return value_bytes <= SMALL_VALUE_BYTES or self._is_below(1.0)
        return self._is_below(NEW_OWNER_WATERMARK)

    def _is_below(self, share: float) -> bool:
        return self.limit is None or self.used < share * self.limit
