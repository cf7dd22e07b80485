"""When callers should come back after a refusal: each ``Retry-After`` is decided here. No I/O.

Callers have few tries: a turn is sent up to three times, 0.1 to 0.4 s apart, and each time comes
back once after ``Retry-After``, for which it waits a part of its remaining time at most. Whoever
is told to come back too early three times is lost; who comes back too late is late. All answers
are seconds.
"""

from yarrowwall.hashing import fraction, fraction_of_digest

#: Part of its remaining time that a caller waits before it comes back; told to wait for longer, it
#: comes sooner than it was told.
MAX_WAIT_SHARE = 1.0 / 3.0

#: After a shortage that is over in a moment, or that another gateway does not have: the servers
#: are full, memory is short, the gateway stops, the first configuration is not read yet.
SHORTAGE_SECONDS = 0.15

#: In the first moment of an outage, and what each second that it has lasted adds: an outage of
#: unknown length is most likely to last as long again, and half of that, three times, bridges it.
OUTAGE_INITIAL_SECONDS = 0.5
OUTAGE_GROWTH = 0.5
#: The most is what callers honour of a deadline of 5 s.
OUTAGE_MAX_SECONDS = 1.6
#: Part by which returns are spread to both sides, so that not all come in one moment.
OUTAGE_JITTER = 0.2

#: While a tenant's limit is used up: not before another credit can have been given back, and
#: before most callers' time is over.
LIMIT_MIN_SECONDS = 0.05
LIMIT_MAX_SECONDS = 2.0

#: While servers have no room for a new program: less than a turn takes is no use.
CAPACITY_MIN_SECONDS = 0.1
#: Part of a caller's patience over which those are spread whose turn comes later than that.
CAPACITY_JITTER = 0.25
#: The longest where nobody knows when there is room: about as long as programs take to end.
UNKNOWN_CAPACITY_MAX_SECONDS = 1.0
UNKNOWN_CAPACITY_JITTER = 0.5


def caller_patience_s(left_s: float) -> float:
    """Return for how long a caller waits at most before it comes back.

    :param left_s: until its deadline.
    """
    return max(0.0, left_s * MAX_WAIT_SHARE)


def after_outage_s(lasted_s: float, caller: str) -> float:
    """Return when to come back after a refusal that ends with an outage of unknown length.

    :param lasted_s: for how long there has been no service.
    :param caller: by which returns are spread.
    """
    wanted_s = min(OUTAGE_INITIAL_SECONDS + OUTAGE_GROWTH * max(lasted_s, 0.0), OUTAGE_MAX_SECONDS)
    return wanted_s * (1.0 - OUTAGE_JITTER + 2.0 * OUTAGE_JITTER * fraction("return", caller))


def after_limit_s(free_in_s: float) -> float:
    """Return when to come back while a tenant's limit is used up.

    :param free_in_s: until a lender expects to have room.
    """
    return min(max(free_in_s, LIMIT_MIN_SECONDS), LIMIT_MAX_SECONDS)


def after_queue_wait_s(turn_in_s: float, patience_s: float, program: int) -> float:
    """Return when a program should come back that waits for room among others.

    :param turn_in_s: until it should be its turn.
    :param patience_s: for how long its caller waits; who would wait longer comes one after another.
    :param program: by which those are spread.
    """
    longest_s = patience_s * (1.0 - CAPACITY_JITTER + CAPACITY_JITTER * fraction_of_digest(program))
    return max(CAPACITY_MIN_SECONDS, min(turn_in_s, longest_s))


def after_unknown_capacity_s(patience_s: float, program: int) -> float:
    """Return when a program should come back if nobody knows when there is room.

    :param patience_s: for how long its caller waits.
    :param program: by which returns are spread.
    """
    longest_s = min(patience_s, UNKNOWN_CAPACITY_MAX_SECONDS)
    spread = UNKNOWN_CAPACITY_JITTER * fraction_of_digest(program)
    return longest_s * (1.0 - UNKNOWN_CAPACITY_JITTER + spread)
