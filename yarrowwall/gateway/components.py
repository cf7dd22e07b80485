"""Components that all requests of a gateway share."""

from dataclasses import dataclass, field

from yarrowwall.dispatch.components import DispatchComponents
from yarrowwall.dispatch.sole_software import SoleSoftware
from yarrowwall.gateway.caller_connection import CurrentCallerLimits
from yarrowwall.policy.freshness import Freshness
from yarrowwall.policy.program_sizes import ProgramSizes
from yarrowwall.ports.admission import AdmissionControl
from yarrowwall.ports.platform import CallerProtocol
from yarrowwall.ports.programs import ProgramLedger
from yarrowwall.ports.quotas import QuotaSource


@dataclass
class GatewayComponents:
    """Components that all requests of a gateway share.

    :param dispatch: components for sending attempts to servers.
    :param callers: reads callers' requests and makes the headers of responses.
    :param programs: token budgets and turns of programs.
    :param quotas: rate limits of tenants.
    :param admission: decides whether new programs may begin.
    :param limits: limits on what callers may send.
    :param freshness: age of the current configuration.
    :param sole_software: finds the only software of a service.
    """

    dispatch: DispatchComponents
    callers: CallerProtocol
    programs: ProgramLedger
    quotas: QuotaSource
    admission: AdmissionControl
    limits: CurrentCallerLimits
    freshness: Freshness
    sole_software: SoleSoftware
    program_sizes: ProgramSizes = field(default_factory=ProgramSizes)
