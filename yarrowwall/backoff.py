"""Exponential backoff."""

#: Doublings after which a pause has reached any maximum: 2 ** 30 times 0.1 s are three years.
#: Without this limit the power overflows a float after 1,023 doublings, which is 17 minutes of an
#: outage in which a read fails every second.
MAX_DOUBLINGS = 30


def exponential_backoff_s(first_s: float, most_s: float, doublings: int) -> float:
    """Return the pause before the next try, in seconds.

    :param first_s: pause after the first failure.
    :param most_s: maximum pause.
    :param doublings: number of failures before the last one.
    """
    return min(first_s * 2.0 ** min(doublings, MAX_DOUBLINGS), most_s)
