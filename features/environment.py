"""Behave hooks: the scenarios of a feature tagged ``shared_system`` share one running system."""

from behave.model import Feature, Scenario
from behave.runner import Context

from features.support.crowd_world import CrowdWorld
from features.support.cut_world import CutWorld
from features.support.platform_world import PlatformWorld
from features.support.processes import System
from features.support.proxied_world import ProxiedWorld
from features.support.zoned_world import TwoLossesWorld, ZonedWorld


def before_feature(context: Context, feature: Feature) -> None:
    """Start the processes that the feature's scenarios share."""
    context.shared_system = System() if "shared_system" in feature.tags else None
    context.system = context.shared_system


def after_feature(context: Context, feature: Feature) -> None:
    """Stop the shared processes."""
    if context.shared_system is not None:
        context.shared_system.stop()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Start the processes that the scenario's tags name."""
    context.own_system = System() if "own_system" in scenario.effective_tags else None
    if context.own_system is not None:
        context.system = context.own_system
    context.platform = None
    if "platform_world" in scenario.effective_tags:
        context.platform = PlatformWorld()
    if "proxied_world" in scenario.effective_tags:
        context.platform = ProxiedWorld()
    if "cut_world" in scenario.effective_tags:
        context.platform = CutWorld()
    if "crowd_world" in scenario.effective_tags:
        context.platform = CrowdWorld()
    if "server_ends_world" in scenario.effective_tags:
        context.platform = PlatformWorld(gateways=3)
    if "zoned_world" in scenario.effective_tags:
        context.platform = ZonedWorld()
    if "two_losses_world" in scenario.effective_tags:
        context.platform = TwoLossesWorld()
    if context.platform is not None:
        context.by_route = {}
        context.platform.wait_ready()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stop the processes of the scenario."""
    if context.own_system is not None:
        context.own_system.stop()
    if context.platform is not None:
        if scenario.status.has_failed():
            print(context.platform.log_tails())
        context.platform.stop()
