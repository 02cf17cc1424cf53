"""Demo of the gateway: requests on each route, with and without injected faults.

Runs against gateways that ``bench/fleet.sh soak`` started; store and endpoints are
stand-ins in this process. Prints the result of each request and exits with 0 only
if all are as expected.
"""

import os
import sys

import trio

from bench.soak.__main__ import (
    READY_TIMEOUT_S,
    RECOVERY_TIMEOUT_S,
    RESERVATION_EXPIRY_S,
    wait_until_all_serve,
)
from bench.soak.callers import REQUEST_KINDS, connect, send_request
from bench.soak.checks import find_leaked_reservations, find_violations
from bench.soak.faults import FaultInjector
from bench.soak.world import expected_body, open_environment

# A seed without silent streams.
SEED = 3


class DemoReport:
    """Prints the result of each check and records whether all passed.

    Parameters
    ----------
    environment : SoakEnvironment
    """

    def __init__(self, environment):
        self._environment = environment
        self.passed = True

    async def demonstrate_request(self, kind, description):
        """Send one request and print its result."""
        started_s = trio.current_time()
        caller = await connect(self._environment)
        if caller is None:
            self.print_row(description, "no connection", False)
            return
        await send_request(self._environment, caller, kind)
        await caller._stream.aclose()
        attempt = self._environment.attempts[-1]
        is_expected = attempt.status == 200 and attempt.body == expected_body(attempt)
        elapsed_ms = 1000 * (trio.current_time() - started_s)
        self.print_row(
            description, f"{attempt.status}, {elapsed_ms:.0f} ms", is_expected
        )

    def print_row(self, description, result, passed):
        """Print the result of one check."""
        self.passed = self.passed and passed
        print(
            f"{description:58} {result:14} {'held' if passed else 'NOT held'}",
            flush=True,
        )

    def inject_fault(self, service, step):
        """Make the next request that reaches a service fail with a step.

        The service's endpoints share one script, so only the first one asked fails.
        """
        shared_script = [step]
        for name, endpoint in self._environment.endpoints_by_name.items():
            if self._environment.service_of(name) == service:
                endpoint.script = shared_script


async def run(layout):
    """Run the demo and return whether all checks passed."""
    async with trio.open_nursery() as nursery:
        environment = await open_environment(nursery, layout, SEED, 0)
        report = DemoReport(environment)
        violations = await wait_until_all_serve(environment, READY_TIMEOUT_S)
        report.print_row("all gateways serve", "ready", not violations)
        for kind in REQUEST_KINDS:
            await report.demonstrate_request(kind, f"a request of route {kind!r}")
        await demonstrate_endpoint_faults(report)
        await demonstrate_gateway_loss(report, environment)
        await demonstrate_configuration_change(report, environment)
        await trio.sleep(RESERVATION_EXPIRY_S)
        for line in find_violations(environment) + find_leaked_reservations(
            environment
        ):
            report.print_row(line, "", False)
        nursery.cancel_scope.cancel()
    print("all held" if report.passed else "NOT all held")
    return report.passed


async def demonstrate_endpoint_faults(report):
    """Show requests that succeed although their first endpoint fails."""
    report.inject_fault("model", "torn")
    await report.demonstrate_request(
        "ask", "a stream whose engine breaks off after three events"
    )
    report.inject_fault("desk", "cut")
    await report.demonstrate_request(
        "read", "a repeatable request whose endpoint cuts its answer"
    )
    report.inject_fault("desk", "shed")
    await report.demonstrate_request(
        "book", "a request to run once that its first endpoint refuses"
    )


async def demonstrate_gateway_loss(report, environment):
    """Show that a killed gateway serves again after its restart."""
    await FaultInjector(environment).inject("kill")
    await report.demonstrate_request("ask", "a stream after one gateway was killed")
    violations = await wait_until_all_serve(environment, RECOVERY_TIMEOUT_S)
    report.print_row("the killed gateway serves again", "ready", not violations)


async def demonstrate_configuration_change(report, environment):
    """Show that a changed configuration comes into force everywhere."""
    environment.write_configuration()
    started_s = trio.current_time()
    violations = await wait_until_all_serve(environment, RECOVERY_TIMEOUT_S)
    elapsed_ms = 1000 * (trio.current_time() - started_s)
    report.print_row(
        "a new configuration in force", f"{elapsed_ms:.0f} ms", not violations
    )


def main():
    """Run the demo and exit with 1 if a check failed."""
    sys.exit(0 if trio.run(run, os.environ["FLEET"]) else 1)


if __name__ == "__main__":
    main()
