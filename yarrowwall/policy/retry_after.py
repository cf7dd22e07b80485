"""Computes every ``Retry-After`` that callers are given with a refusal. No I/O.

Callers have few tries: a turn is sent up to three times, 0.1 to 0.4 s apart, and each time is
retried once after ``Retry-After``, for which a caller waits at most a share of its remaining time.
A caller whose retries all come too early is lost; one that retries too late misses its deadline.
All results are seconds.
"""

from yarrowwall.hashing import fraction, fraction_of_digest

#: Share of its remaining time that a caller waits before a retry. Given a longer ``Retry-After``,
#: it retries earlier than that.
MAX_WAIT_SHARE = 1.0 / 3.0

#: After a refusal for a short shortage, or one that other gateways may not have: the servers are
#: full, memory is short, the gateway stops, or the first configuration has not been read.
SHORTAGE_SECONDS = 0.15

#: At the start of an outage, and the growth per second that it has lasted. An outage of unknown
#: length is most likely to last as long again; three waits of half that length cover it.
OUTAGE_INITIAL_SECONDS = 0.5
OUTAGE_GROWTH = 0.5
#: The longest wait that callers accept with a deadline of 5 s.
OUTAGE_MAX_SECONDS = 1.6
#: Relative jitter in both directions, so that callers do not all retry at once.
OUTAGE_JITTER = 0.2

#: While a tenant's limit is used up: no permit can be returned sooner than the minimum, and most
#: callers' deadlines have passed after the maximum.
LIMIT_MIN_SECONDS = 0.05
LIMIT_MAX_SECONDS = 2.0

#: While servers have no capacity for a new program: a turn takes at least this long, so an earlier
#: retry would not help.
CAPACITY_MIN_SECONDS = 0.1
#: Share of a caller's longest wait over which the retries are spread that are capped to it.
CAPACITY_JITTER = 0.25
#: Maximum if it is unknown when there will be capacity: about as long as programs take to finish.
UNKNOWN_CAPACITY_MAX_SECONDS = 1.0
UNKNOWN_CAPACITY_JITTER = 0.5


def caller_patience_s(left_s: float) -> float:
    """Return the longest that a caller waits before a retry.

    :param left_s: seconds until its deadline.
    """
    return max(0.0, left_s * MAX_WAIT_SHARE)


def after_outage_s(lasted_s: float, caller: str) -> float:
    """Return the wait after a refusal due to an outage of unknown length.

    :param lasted_s: seconds that the outage has lasted.
    :param caller: seed of the jitter.
    """
    wanted_s = min(OUTAGE_INITIAL_SECONDS + OUTAGE_GROWTH * max(lasted_s, 0.0), OUTAGE_MAX_SECONDS)
    return wanted_s * (1.0 - OUTAGE_JITTER + 2.0 * OUTAGE_JITTER * fraction("return", caller))


def after_limit_s(free_in_s: float) -> float:
    """Return the wait while a tenant's limit is used up.

    :param free_in_s: seconds until an issuer expects to have permits.
    """
    return min(max(free_in_s, LIMIT_MIN_SECONDS), LIMIT_MAX_SECONDS)


def after_queue_wait_s(turn_in_s: float, patience_s: float, program: int) -> float:
    """Return the wait of a program in the queue for capacity.

    :param turn_in_s: seconds until the program should be admitted.
    :param patience_s: the longest that its caller waits; longer waits are capped to it and spread.
    :param program: seed of the jitter.
    """
    longest_s = patience_s * (1.0 - CAPACITY_JITTER + CAPACITY_JITTER * fraction_of_digest(program))
    return max(CAPACITY_MIN_SECONDS, min(turn_in_s, longest_s))


def after_unknown_capacity_s(patience_s: float, program: int) -> float:
    """Return the wait of a program if it is unknown when there will be capacity.

    :param patience_s: the longest that its caller waits.
    :param program: seed of the jitter.
    """
    longest_s = min(patience_s, UNKNOWN_CAPACITY_MAX_SECONDS)
    jitter = UNKNOWN_CAPACITY_JITTER * fraction_of_digest(program)
    return longest_s * (1.0 - UNKNOWN_CAPACITY_JITTER + jitter)
