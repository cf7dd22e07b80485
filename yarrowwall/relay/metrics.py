"""Metrics of a machine, in Prometheus' text form, counted from its decisions."""

from collections.abc import Callable, Iterable
from typing import Any

import eventlet
import eventlet.wsgi
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from yarrowwall.relay import decisions
from yarrowwall.relay.decisions import Decision
from yarrowwall.runtime.peers import split_address

_LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)
_METRICS_PATH = "/metrics"


class MachineMetrics:
    """All metrics of one machine, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = self._counter("answers", "Attempts answered by a server", ["status"])
        self.refusals = self._counter("refusals", "Answers of the gateway's own", ["status"])
        self.seconds = Histogram(
            "yarrowwall_attempt_seconds",
            "Time from an attempt's arrival to the end of its answer",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.sends = self._counter("sends", "Sendings to servers", ["service"])
        self.failed_sends = self._counter(
            "failed_sends", "Sendings without an answer to pass on", ["may_have_run"]
        )
        self.cached_tokens = self._counter(
            "cached_prompt_tokens", "Prompt tokens believed to be in the chosen server's memory"
        )
        self.broken = self._counter("answers_broken_off", "Answers cut midway")
        self.left = self._counter("callers_left", "Callers that closed their connection")
        self.budgets = self._counter("budget_decisions", "Reservations of tokens", ["granted"])
        self.chains = self._counter("chain_lookups", "Lookups of earlier turns", ["outcome"])
        self.dependency = Gauge(
            "yarrowwall_dependency_up",
            "Whether a dependency answers",
            ["dependency"],
            registry=self.registry,
        )
        self.version = Gauge(
            "yarrowwall_configuration_version", "Version in force", registry=self.registry
        )
        self.epoch = Gauge(
            "yarrowwall_group_epoch", "Newest view of a group", ["group"], registry=self.registry
        )
        self.synchronisations = self._counter(
            "synchronisations", "Copies of a group that a replica finished"
        )
        self.dropped = Gauge(
            "yarrowwall_log_lines_dropped", "Log lines not written", registry=self.registry
        )
        self._handlers: dict[type[Decision], Callable[[Any], None]] = {
            decisions.AttemptAnswered: self._answered,
            decisions.AttemptRefused: lambda event: self.refusals.labels(event.status).inc(),
            decisions.AttemptSent: self._sent,
            decisions.SendFailed: lambda event: self.failed_sends.labels(event.may_have_run).inc(),
            decisions.AnswerBrokenOff: lambda event: self.broken.inc(),
            decisions.CallerLeft: lambda event: self.left.inc(),
            decisions.BudgetDecided: lambda event: self.budgets.labels(event.granted).inc(),
            decisions.ChainLookedUp: lambda event: self.chains.labels(event.outcome).inc(),
            decisions.DependencyChanged: lambda event: self.dependency.labels(event.dependency).set(
                event.is_up
            ),
            decisions.ConfigurationInForce: lambda event: self.version.set(event.version),
            decisions.GroupChanged: lambda event: self.epoch.labels(event.group).set(event.epoch),
            decisions.ReplicaSynchronised: lambda event: self.synchronisations.inc(),
        }

    def _counter(self, name: str, text: str, labels: Iterable[str] = ()) -> Counter:
        return Counter(f"yarrowwall_{name}", text, labels, registry=self.registry)

    def count(self, decision: Decision) -> None:
        """Count a decision."""
        handler = self._handlers.get(type(decision))
        if handler is not None:
            handler(decision)

    def _answered(self, event: decisions.AttemptAnswered) -> None:
        self.answers.labels(event.status).inc()
        self.seconds.observe(event.seconds)

    def _sent(self, event: decisions.AttemptSent) -> None:
        self.sends.labels(event.service).inc()
        self.cached_tokens.inc(event.cached_tokens)

    def render(self, dropped: int) -> bytes:
        """Return the text that a scrape gets.

        :param dropped: log lines that were not written.
        """
        self.dropped.set(dropped)
        return generate_latest(self.registry)


def serve_metrics(address: str, render: Callable[[], bytes]) -> None:
    """Tell the metrics on an address until the process ends."""

    def answer(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        if environ["PATH_INFO"] != _METRICS_PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body = render()
        headers = [
            ("Content-Type", "text/plain; version=0.0.4"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]

    eventlet.wsgi.server(eventlet.listen(split_address(address)), answer, log_output=False)
