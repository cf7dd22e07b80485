"""Metrics of a node in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

_LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)


class NodeMetrics:
    """The metrics of one node, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "yarrowwall_requests",
            "HTTP requests by route and status",
            ["route", "status"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "yarrowwall_request_seconds",
            "Time to the end of the answer",
            ["route"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.relayed_bytes = Counter(
            "yarrowwall_relayed_bytes", "Bytes of streams sent to callers", registry=self.registry
        )
        self.loaded_programs = Gauge(
            "yarrowwall_loaded_programs", "Programs in this node's memory", registry=self.registry
        )
        self.waiting_calls = Gauge(
            "yarrowwall_waiting_calls", "Calls that wait for an engine", registry=self.registry
        )
        self.configuration_version = Gauge(
            "yarrowwall_configuration_version", "Version in force", registry=self.registry
        )

    def render(self) -> bytes:
        """Return the metrics in the text exposition format."""
        return generate_latest(self.registry)
