"""Metrics of a machine in the Prometheus text format, counted from its decisions.

They are counted in plain numbers. The Prometheus library is imported at the first scrape:
importing it earlier would delay startup, while callers wait, and use memory without need.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from yarrowwall import decisions
from yarrowwall.decisions import Decision

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

_LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)
_PREFIX = "yarrowwall_"


class _Description(NamedTuple):
    """Name, help text and label of a metric."""

    name: str
    text: str
    label: str | None = None


ANSWERS = _Description("answers", "Attempts answered by a server", "status")
REFUSALS = _Description("refusals", "Answers of the gateway's own", "status")
SENDS = _Description("sends", "Sendings to servers", "service")
FAILED_SENDS = _Description("failed_sends", "Sendings without an answer to pass on", "may_have_run")
ANSWERS_GIVEN_UP = _Description(
    "answers_given_up", "Answers whose rest was not read, by the bound they exceed", "bound"
)
SERVER_ENDS = _Description(
    "servers_ended_under_requests", "Ends of servers, counted for each request that they ran"
)
CACHED_TOKENS = _Description(
    "cached_prompt_tokens", "Prompt tokens believed to be in the chosen server's memory"
)
BROKEN_ANSWERS = _Description("answers_broken_off", "Answers cut midway")
CALLERS_LEFT = _Description("callers_left", "Callers that closed their connection")
BUDGETS = _Description("budget_decisions", "Reservations of tokens", "granted")
BUDGET_PARTS = _Description(
    "budget_parts", "Turns whose tokens were asked beside the common group", "verdict"
)
ZONE_TURNS = _Description("zone_turns", "Turns served by the own zone's part of a budget alone")
ZONE_TOKENS = _Description("zone_tokens", "Tokens reserved of zones' parts of budgets")
TURNS_KEPT_IN_ZONE = _Description("zone_turns_kept", "Turns kept in the own zone's group")
TURNS_KEPT_LATE = _Description(
    "turns_kept_late", "Answers whose end waited until a turn was stored"
)
TURNS_COPIED = _Description("zone_turns_copied", "Turns copied from zones' groups to common ones")
GROUP_REACHED = _Description("group_reached", "Whether a group of replicas answers", "group")
MESSAGES_DROPPED = _Description(
    "messages_dropped", "Messages of other machines that were not understood"
)
CONNECTIONS_CLOSED = _Description(
    "peer_connections_closed", "Connections closed for what is no message"
)
CHAIN_LOOKUPS = _Description("chain_lookups", "Lookups of earlier turns", "outcome")
STREAM_ORIGINS = _Description(
    "stream_origins", "Lookups of the software that began a resumed stream", "origin"
)
SYNCHRONISATIONS = _Description("synchronisations", "Copies of a group that a replica finished")
DEPENDENCY = _Description("dependency_up", "Whether a dependency answers", "dependency")
QUOTA_REFUSALS = _Description(
    "quota_refusals", "Attempts refused by their tenant's limit", "begins_program"
)
ADMISSIONS = _Description(
    "room_decisions",
    "New programs while half of the places were taken, by what was lacking",
    "scarce",
)
ADMISSION_REFUSALS = _Description(
    "room_refusals", "New programs refused for want of room, by tenant", "tenant"
)
FREE_PROGRAMS = _Description("room_free_programs", "Programs there was room for at last", "service")
WAITING_PROGRAMS = _Description(
    "room_waiting_programs", "Refused programs that may return", "service"
)
ISSUING = _Description("quota_lending", "Whether this replica lends its part of limits")
ISSUED_PERMITS = _Description(
    "quota_lent", "Requests that count against this replica's part", "tenant"
)
CONFIGURATION_AGE = _Description(
    "configuration_age_seconds", "Time since the newest proof of the configuration"
)
CALLERS_GIVEN_UP = _Description(
    "callers_given_up", "Callers that read or sent nothing for too long"
)
CONNECTIONS_ENDED = _Description(
    "connections_ended", "Callers' connections that ended before their answers", "reason"
)
CLIENTS_TURNED_AWAY = _Description(
    "clients_turned_away",
    "Clients' connections ended for lack of room, by what they waited for",
    "state",
)
CONNECTIONS = _Description(
    "client_connections", "Clients' connections, by what they wait for", "state"
)
HELD_BYTES = _Description("held_bytes", "Bytes held for callers and servers", "of")
ENTRIES_REFUSED = _Description(
    "server_entries_refused", "Entries of servers that name none to use", "fault"
)
KEY_CHANGES = _Description("key_changes", "Keys given to tenants or taken away", "change")
CONFIGURATION_VERSION = _Description("configuration_version", "Version in force")
GROUP_EPOCH = _Description("group_epoch", "Newest view of a group", "group")
GROUP_MEMBERS = _Description("group_members", "Replicas of a group's newest view", "group")
GROUP_LOST = _Description("group_lost", "1 if a group has lost all copies of its records", "group")
GROUP_WAITS = _Description(
    "group_waits", "1 while a group waits for members that have been silent for long", "group"
)
ZONE_RECORDS = _Description(
    "zone_group_records", "Records that this machine holds for its zone's own group"
)
COMMON_RECORDS = _Description(
    "common_group_records", "Records that this machine holds for a common group"
)
RECORD_OWNERS = _Description(
    "common_group_owners", "Programs and chains of turns whose records it holds for that group"
)
RECORDS_REFUSED = _Description(
    "records_refused", "Records of new programs refused for lack of memory", "group"
)
RECORDS_DROPPED = _Description(
    "records_dropped", "Records dropped because no replica keeps them any longer", "group"
)
EXPIRY_UNCONFIRMED = _Description(
    "expiry_unconfirmed", "Series of failures to confirm that records are over", "group"
)
CHAINS_STORED_AGAIN = _Description(
    "chains_stored_again", "Turns that were stored with their whole chain"
)
EVENTS_REPEATED = _Description(
    "events_repeated", "Events of resumed turns that their callers had already"
)
DROPPED_LINES = _Description("log_lines_dropped", "Log lines not written")
RELAYED_REQUESTS = _Description(
    "relayed_requests", "Requests sent through a neighbour", "neighbour"
)
FORWARDED_REQUESTS = _Description(
    "forwarded_requests", "Requests passed on for a gateway", "gateway"
)
RELAY_REFUSALS = _Description("relay_refusals", "Refusals of neighbours", "status")
FORWARD_REFUSALS = _Description("forward_refusals", "Requests not passed on", "status")
RELAYED_READS = _Description(
    "reader_questions_relayed", "Questions to readers of the store through neighbours", "outcome"
)
ATTEMPT_SECONDS = _Description(
    "attempt_seconds", "Time from an attempt's arrival to the end of its answer"
)


class _Key(NamedTuple):
    """One time series of a metric."""

    metric: _Description
    label: str = ""


class MachineMetrics:
    """All metrics of one machine."""

    def __init__(self) -> None:
        self._counts: Counter[_Key] = Counter()
        self._gauges: dict[_Key, float] = {}
        self._latencies = [0] * (len(_LATENCY_BUCKETS) + 1)
        self._latency_sum_s = 0.0
        self._handlers: dict[type[Decision], Callable[[Any], None]] = {
            decisions.AttemptAnswered: self._answered,
            decisions.AttemptRefused: lambda event: self._add(REFUSALS, event.status),
            decisions.AttemptSent: self._sent,
            decisions.SendFailed: lambda event: self._add(FAILED_SENDS, event.may_have_run),
            decisions.AnswerGivenUp: lambda event: self._add(ANSWERS_GIVEN_UP, event.bound),
            decisions.ServerEndedUnderRequest: lambda event: self._add(SERVER_ENDS),
            decisions.AnswerBrokenOff: lambda event: self._add(BROKEN_ANSWERS),
            decisions.CallerLeft: lambda event: self._add(CALLERS_LEFT),
            decisions.CallerGivenUp: lambda event: self._add(CALLERS_GIVEN_UP),
            decisions.RecordsRefused: lambda event: self._add(RECORDS_REFUSED, event.group),
            decisions.ClientTurnedAway: lambda event: self._add(CLIENTS_TURNED_AWAY, event.state),
            decisions.ConnectionEnded: lambda event: self._add(CONNECTIONS_ENDED, event.reason),
            decisions.BudgetDecided: lambda event: self._add(BUDGETS, event.granted),
            decisions.PartsAsked: self._parts_asked,
            decisions.TurnKeptInZone: lambda event: self._add(TURNS_KEPT_IN_ZONE),
            decisions.TurnKeptLate: lambda event: self._add(TURNS_KEPT_LATE),
            decisions.TurnCopied: lambda event: self._add(TURNS_COPIED),
            decisions.GroupReachChanged: lambda event: self._set(
                GROUP_REACHED, event.is_reached, event.group
            ),
            decisions.ChainLookedUp: lambda event: self._add(CHAIN_LOOKUPS, event.outcome),
            decisions.StreamOriginFound: lambda event: self._add(STREAM_ORIGINS, event.origin),
            decisions.EventsRepeated: lambda event: self._add(EVENTS_REPEATED, amount=event.events),
            decisions.RecordsDropped: lambda event: self._add(
                RECORDS_DROPPED, event.group, event.dropped
            ),
            decisions.ExpiryUnconfirmed: lambda event: self._add(EXPIRY_UNCONFIRMED, event.group),
            decisions.ChainStoredAgain: lambda event: self._add(CHAINS_STORED_AGAIN),
            decisions.MessageDropped: lambda event: self._add(MESSAGES_DROPPED),
            decisions.PeerConnectionClosed: lambda event: self._add(CONNECTIONS_CLOSED),
            decisions.ReplicaSynchronised: lambda event: self._add(SYNCHRONISATIONS),
            decisions.DependencyChanged: lambda event: self._set(
                DEPENDENCY, event.is_up, event.dependency
            ),
            decisions.ConfigurationInForce: lambda event: self._set(
                CONFIGURATION_VERSION, event.version
            ),
            decisions.QuotaRefused: lambda event: self._add(QUOTA_REFUSALS, event.begins),
            decisions.RoomDecided: self._admission_decided,
            decisions.LendingChanged: lambda event: self._set(ISSUING, event.lends),
            decisions.EntryRefused: lambda event: self._add(ENTRIES_REFUSED, event.fault),
            decisions.KeysChanged: self._keys_changed,
            decisions.GroupChanged: self._group_changed,
            decisions.GroupLost: lambda event: self._set(GROUP_LOST, 1, event.group),
            decisions.GroupWaits: lambda event: self._set(
                GROUP_WAITS, int(bool(event.missing)), event.group
            ),
        }

    def count(self, decision: Decision) -> None:
        """Count a decision."""
        handler = self._handlers.get(type(decision))
        if handler is not None:
            handler(decision)

    def _add(self, metric: _Description, label: object = "", amount: int = 1) -> None:
        self._counts[_Key(metric, str(label))] += amount

    def _set(self, metric: _Description, value: float, label: object = "") -> None:
        self._gauges[_Key(metric, str(label))] = value

    def _answered(self, event: decisions.AttemptAnswered) -> None:
        self._add(ANSWERS, event.status)
        self._latencies[bisect_left(_LATENCY_BUCKETS, event.seconds)] += 1
        self._latency_sum_s += event.seconds

    def _parts_asked(self, event: decisions.PartsAsked) -> None:
        self._add(BUDGET_PARTS, event.verdict)
        if event.verdict not in ("granted", "short"):
            return
        self._add(ZONE_TOKENS, amount=event.zone_tokens)
        self._add(ZONE_TURNS, amount=int(event.is_alone))

    def _keys_changed(self, event: decisions.KeysChanged) -> None:
        self._add(KEY_CHANGES, "added", len(event.added))
        self._add(KEY_CHANGES, "removed", len(event.removed))

    def _admission_decided(self, event: decisions.RoomDecided) -> None:
        self._add(ADMISSIONS, event.scarce)
        if not event.admitted:
            self._add(ADMISSION_REFUSALS, event.tenant)
        self._set(FREE_PROGRAMS, event.free, event.service)
        self._set(WAITING_PROGRAMS, event.waiting, event.service)

    def _group_changed(self, event: decisions.GroupChanged) -> None:
        self._set(GROUP_EPOCH, event.epoch, event.group)
        self._set(GROUP_MEMBERS, len(event.members.split(",")) if event.members else 0, event.group)

    def set_zone_records(self, count: int) -> None:
        """Set the number of records stored for the zone's own group."""
        self._set(ZONE_RECORDS, count)

    def set_common_records(self, count: int, owners: int) -> None:
        """Set the numbers of records and of their owners stored for a common group."""
        self._set(COMMON_RECORDS, count)
        self._set(RECORD_OWNERS, owners)

    def set_age(self, age_s: float) -> None:
        """Set the seconds since the configuration was last verified to be the newest."""
        self._set(CONFIGURATION_AGE, age_s)

    def set_relayed(self, relayed: Mapping[str, int], forwarded: Mapping[str, int]) -> None:
        """Set the counts of requests sent through neighbours and forwarded for gateways."""
        self._set_counts(RELAYED_REQUESTS, relayed)
        self._set_counts(FORWARDED_REQUESTS, forwarded)

    def set_relay_refusals(self, received: Mapping[str, int], sent: Mapping[str, int]) -> None:
        """Set the counts of refusals received from neighbours, and of those sent to gateways."""
        self._set_counts(RELAY_REFUSALS, received)
        self._set_counts(FORWARD_REFUSALS, sent)

    def set_relayed_reads(self, outcomes: Mapping[str, int]) -> None:
        """Set the counts of relayed reads by outcome."""
        self._set_counts(RELAYED_READS, outcomes)

    def _set_counts(self, metric: _Description, counts: Mapping[str, int]) -> None:
        for label, count in counts.items():
            self._counts[_Key(metric, label)] = count

    def set_connections(self, by_state: Mapping[str, int]) -> None:
        """Set the number of clients' connections by state."""
        for state, count in by_state.items():
            self._set(CONNECTIONS, count, state)

    def set_held(self, held: Mapping[str, int]) -> None:
        """Set the numbers of buffered bytes, by what they are buffered for."""
        for kind, count in held.items():
            self._set(HELD_BYTES, count, kind)

    def set_issued_permits(self, issued: Mapping[str, int]) -> None:
        """Set the requests that count against this replica's share, by tenant."""
        for key in [key for key in self._gauges if key.metric is ISSUED_PERMITS]:
            del self._gauges[key]
        for tenant, count in issued.items():
            self._set(ISSUED_PERMITS, count, tenant)

    def _sent(self, event: decisions.AttemptSent) -> None:
        self._add(SENDS, event.service)
        self._add(CACHED_TOKENS, amount=event.cached_tokens)

    def render(self, dropped: int) -> bytes:
        """Return the text of a scrape.

        :param dropped: number of log lines that were not written.
        """
        from prometheus_client import CollectorRegistry, generate_latest

        self._set(DROPPED_LINES, dropped)
        registry = CollectorRegistry()
        registry.register(self)  # type: ignore[arg-type]  # a collector only needs `collect`
        return generate_latest(registry)

    def collect(self) -> "Iterator[Metric]":
        """Return all metrics, for the Prometheus library."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        yield from _families(self._counts, CounterMetricFamily)
        yield from _families(self._gauges, GaugeMetricFamily)
        latencies = HistogramMetricFamily(_PREFIX + ATTEMPT_SECONDS.name, ATTEMPT_SECONDS.text)
        latencies.add_metric([], self._cumulative(), sum_value=self._latency_sum_s)
        yield latencies

    def _cumulative(self) -> list[tuple[str, float]]:
        """Return the upper bounds of the buckets, each with its cumulative count of attempts."""
        bounds = [*(str(bound) for bound in _LATENCY_BUCKETS), "+Inf"]
        counts = [float(sum(self._latencies[: end + 1])) for end in range(len(bounds))]
        return list(zip(bounds, counts, strict=True))


def _families(series: dict[_Key, Any], family: Callable[..., Any]) -> "Iterator[Metric]":
    """Return the metrics of one type, each with all of its time series."""
    metrics: dict[_Description, Any] = {}
    for (metric, label), value in series.items():
        labels = [metric.label] if metric.label else []
        if metric not in metrics:
            metrics[metric] = family(_PREFIX + metric.name, metric.text, labels=labels)
        metrics[metric].add_metric([label] if labels else [], value)
    yield from metrics.values()
