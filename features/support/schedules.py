"""Settings of hypothesis: the same examples in every run, none kept on disk."""

from hypothesis import HealthCheck, Phase, settings


def derandomized(count: int) -> settings:
    """Return settings for so many examples; a failing one is shrunk."""
    return settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
