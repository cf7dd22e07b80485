"""Pauses that double with each failure, up to a most."""

#: Doublings beyond which a pause has reached any most: 2 ** 30 of 0.1 s are three years. The power
#: itself grows without end and no longer fits a float after 1,023 of them, which is 17 minutes of
#: an outage in which a read fails each second.
MAX_DOUBLINGS = 30


def exponential_backoff_s(first_s: float, most_s: float, doublings: int) -> float:
    """Return a pause in seconds.

    :param doublings: how often it has doubled: the failures before this one.
    """
    return min(first_s * 2.0 ** min(doublings, MAX_DOUBLINGS), most_s)
