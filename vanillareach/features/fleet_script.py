"""Collects the actions of a scenario on a fleet in memory, and runs them."""

from vanillareach.features.gateway_network import run_fleet


class FleetScript:
    """Actions on a fleet, collected by the steps of a scenario and run by its checks.

    The whole scenario is run again for each check, with the same seeds, since a mock
    clock lives as long as its event loop.
    """

    def __init__(self, instance_count, domains, evacuation_ms=0.0):
        self.evacuation_ms = evacuation_ms
        self.instance_count = instance_count
        self.domains = domains
        self.actions = []

    def run(self, check):
        """Run all actions, then `check`; it becomes an action of later checks."""
        self.actions.append(check)

        async def play(fleet):
            fleet.memory = {}
            for action in self.actions:
                await action(fleet)

        run_fleet(
            self.instance_count, self.domains, play, evacuation_ms=self.evacuation_ms
        )


def action(context):
    """Return a decorator that adds a coroutine function to the scenario's actions."""
    return context.script.actions.append


def check(context):
    """Return a decorator that runs the scenario up to a check."""
    return context.script.run
