"""Time limits and counts of the core, with their defaults."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Limits:
    """Limits of waits, retries and programs; times are in seconds.

    :param retransmit: time without an answer after which journal messages are resent.
    :param order_wait: maximum wait of a call for the earlier calls of its program.
    :param queue_wait: maximum wait of a call for an engine.
    :param forward_retry: time without a reply after which a gateway forwards a request again.
    :param request_deadline: age of a request at which a gateway replies without its outcome.
    :param dispatch_validity: age at which a proposed dispatch is no longer sent; well
        below the time for which a new owner tries to resume it.
    :param resume_interval: pause between attempts to resume a broken stream.
    :param resume_attempts: number of attempts to resume a broken stream.
    :param start_attempts: number of attempts to start a call.
    :param idle_limit: time without activity after which a program is ended.
    :param unload_after: time without activity after which the owner drops a settled
        program from memory.
    :param calls_per_program: maximum number of calls of a program; stops endless loops.
    :param sweep_interval: pause between a replica's checks for programs without an owner.
    :param retention: time after a program's end at which its log is dropped; well
        above every request's deadline.
    :param gossip_interval: pause between gossip rounds.
    :param dead_after: time without a new heartbeat after which a member counts as dead.
    :param lease: length of the controller lease.
    :param document_retry: pause between resends of unanswered document requests.
    :param platform_retry: pause before a transaction reads from the platform again.
    """

    retransmit: float = 0.3
    order_wait: float = 30.0
    queue_wait: float = 30.0
    forward_retry: float = 2.0
    request_deadline: float = 120.0
    dispatch_validity: float = 1.5
    resume_interval: float = 0.5
    resume_attempts: int = 6
    start_attempts: int = 6
    idle_limit: float = 900.0
    unload_after: float = 60.0
    calls_per_program: int = 200
    sweep_interval: float = 10.0
    retention: float = 3600.0
    gossip_interval: float = 0.5
    dead_after: float = 3.5
    lease: float = 10.0
    document_retry: float = 0.5
    platform_retry: float = 1.0
