"""The demo of the gateway: requests of routes, with faults injected and survived.

Runs against gateways that ``bench/fleet.sh soak`` started; store and endpoints are
stand-ins in this process. Prints what each request got and exits 0 only if all held.
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
from bench.soak.checks import find_leaked_reservations, find_violations
from bench.soak.faults import FaultInjector
from bench.soak.world import (
    REQUEST_KINDS,
    connect,
    expected_body,
    open_environment,
    send_request,
)

SEED = 1


class Show:
    """Prints rows and remembers whether all held.

    Parameters
    ----------
    environment : SoakEnvironment
    """

    def __init__(self, environment):
        self._environment = environment
        self.held = True

    async def call(self, kind, what):
        """Send one request and print what it got."""
        started_s = trio.current_time()
        caller = await connect(self._environment)
        if caller is None:
            self.row(what, "no connection", False)
            return
        await send_request(self._environment, caller, kind)
        await caller._stream.aclose()
        attempt = self._environment.attempts[-1]
        is_right = attempt.status == 200 and attempt.body == expected_body(attempt)
        elapsed_ms = 1000 * (trio.current_time() - started_s)
        self.row(what, f"{attempt.status}, {elapsed_ms:.0f} ms", is_right)

    def row(self, what, got, held):
        """Print one row."""
        self.held = self.held and held
        print(f"{what:58} {got:14} {'held' if held else 'NOT held'}", flush=True)

    def script(self, service, step):
        """Let the first endpoint of a service that is asked next have a fault."""
        shared = [step]
        for name, endpoint in self._environment.endpoints_by_name.items():
            if self._environment.service_of(name) == service:
                endpoint.script = shared


async def run(layout):
    """Run the demo and return whether all held."""
    async with trio.open_nursery() as nursery:
        environment = await open_environment(nursery, layout, SEED, 0)
        show = Show(environment)
        missing = await wait_until_all_serve(environment, READY_TIMEOUT_S)
        show.row("all gateways serve", "ready", not missing)
        for kind in REQUEST_KINDS:
            await show.call(kind, f"a request of route {kind!r}")
        await meet_endpoint_faults(show)
        await meet_lost_gateway(show, environment)
        await meet_change(show, environment)
        await trio.sleep(RESERVATION_EXPIRY_S)
        for line in find_violations(environment) + find_leaked_reservations(
            environment
        ):
            show.row(line, "", False)
        nursery.cancel_scope.cancel()
    print("all held" if show.held else "NOT all held")
    return show.held


async def meet_endpoint_faults(show):
    """Show requests that survive their endpoints."""
    show.script("model", "torn")
    await show.call("ask", "a stream whose engine breaks off after three events")
    show.script("desk", "cut")
    await show.call("read", "a repeatable request whose endpoint cuts its answer")
    show.script("desk", "shed")
    await show.call("book", "a request to run once that its first endpoint refuses")


async def meet_lost_gateway(show, environment):
    """Show that a killed gateway serves again."""
    await FaultInjector(environment)._do_kill()
    await show.call("ask", "a stream after one gateway was killed")
    missing = await wait_until_all_serve(environment, RECOVERY_TIMEOUT_S)
    show.row("the killed gateway serves again", "ready", not missing)


async def meet_change(show, environment):
    """Show that a changed configuration comes into force everywhere."""
    environment.write_configuration()
    started_s = trio.current_time()
    missing = await wait_until_all_serve(environment, RECOVERY_TIMEOUT_S)
    elapsed_ms = 1000 * (trio.current_time() - started_s)
    show.row("a new configuration in force", f"{elapsed_ms:.0f} ms", not missing)


def main():
    """Run the demo; exit with 1 if something did not hold."""
    sys.exit(0 if trio.run(run, os.environ["FLEET"]) else 1)


if __name__ == "__main__":
    main()
