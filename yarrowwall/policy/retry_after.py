"""When callers should come back after a refusal that ends with an outage. No I/O.

How long it will last is not known. Callers have few tries: a turn is sent up to three times,
0.1 to 0.4 s apart, and each time comes back once after Retry-After, for which it waits a third
of its remaining time at most. Whoever is told to come back too early three times is lost.
"""

from yarrowwall.hashing import fraction

#: Seconds until the return in the first moment of an outage, and what each second that it has
#: lasted adds: an outage of unknown length is most likely to last as long again, and half of
#: that, three times, bridges it. The most is what callers honour of a deadline of 5 s.
#: Share of turns that find service again after 1, 2, 3, 4, 6 and 8 s without it: 1.00, 1.00,
#: 1.00, 0.94, 0.78, 0.63, 0.5 to 0.8 s after its return; always 0.15 s: 0.92, 0.48, 0.33, 0.24,
#: 0.16, 0.12, 0.1 s after it; as long as it has lasted, 1 s at most: 1.00, 0.98, 0.89, 0.81,
#: 0.58, 0.43, 0.5 s after it (2,000 turns that come at any moment, with the tries above).
FIRST_SECONDS = 0.5
GROWTH = 0.5
MOST_SECONDS = 1.6
#: Part by which returns are spread to both sides, so that not all come in one moment.
SPREAD = 0.2


def return_after_s(lasted_s: float, caller: str) -> float:
    """Return after how many seconds a caller should come back.

    :param lasted_s: for how long there has been no service.
    :param caller: by which returns are spread.
    """
    wanted_s = min(FIRST_SECONDS + GROWTH * max(lasted_s, 0.0), MOST_SECONDS)
    return wanted_s * (1.0 - SPREAD + 2.0 * SPREAD * fraction("return", caller))
