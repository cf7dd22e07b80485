"""Time limits and counts of the core, with their defaults."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Limits:
    """What bounds waits, retries and programs; seconds where not said otherwise.

    :param retransmit: silence after which journal messages are sent again.
    :param order_wait: longest wait of a call for the earlier calls of its program.
    :param queue_wait: longest wait of a call for an engine.
    :param forward_retry: silence after which a gateway forwards a request again.
    :param request_deadline: age at which a gateway gives up on a request.
    :param dispatch_validity: age of a proposed dispatch at which it is not sent any
        more; well below the time for which a new owner tries to resume it.
    :param resume_interval: pause between attempts to resume a broken stream.
    :param resume_attempts: how often a broken stream is resumed.
    :param start_attempts: how often a call that did not start is placed anew.
    :param idle_limit: age of a program's last activity at which it is ended.
    :param unload_after: age of a settled program's last activity at which its
        owner drops it from memory.
    :param calls_per_program: most calls of a program; bounds endless loops.
    :param sweep_interval: pause between a replica's searches for forgotten programs.
    :param retention: age of a program's end at which its log is dropped; well
        above every request's deadline.
    :param gossip_interval: pause between gossip rounds.
    :param dead_after: silence after which a member counts as dead.
    :param lease: length of the controller lease.
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
