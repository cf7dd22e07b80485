"""Settings of Hypothesis: the same examples in every run, and none stored on disk."""

from hypothesis import HealthCheck, Phase, settings


def derandomized(count: int) -> settings:
    """Return settings for a number of examples; a failing example is shrunk."""
    return settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
