"""What all requests of a gateway share."""

from dataclasses import dataclass, field

from yarrowwall.dispatch.components import DispatchComponents
from yarrowwall.gateway.http_server import CurrentCallerLimits
from yarrowwall.policy.freshness import Freshness
from yarrowwall.policy.program_sizes import ProgramSizes
from yarrowwall.ports.admission import AdmissionControl
from yarrowwall.ports.platform import CallerProtocol
from yarrowwall.ports.programs import ProgramLedger
from yarrowwall.ports.quotas import QuotaSource


@dataclass
class GatewayComponents:
    """What all requests of a gateway share.

    :param dispatch: the way to servers.
    :param callers: reads callers' requests, and writes the heads of answers.
    :param programs: budgets and turns of programs.
    :param quotas: limits of tenants.
    :param admission: whether there is room for new programs.
    :param limits: bounds on what callers may send.
    :param freshness: the age of the configuration in force.
    """

    dispatch: DispatchComponents
    callers: CallerProtocol
    programs: ProgramLedger
    quotas: QuotaSource
    admission: AdmissionControl
    limits: CurrentCallerLimits
    freshness: Freshness
    program_sizes: ProgramSizes = field(default_factory=ProgramSizes)
