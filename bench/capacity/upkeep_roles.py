"""Background roles: team shares, sweeping, reconciliation, traces, metrics."""

import os
import random

from bench.capacity import target
from bench.capacity.fit import fit_line
from bench.capacity.roles import FRAME_OVERHEAD_BYTES, SEED, Cost, Role, core_percent
from bench.capacity.timing import min_cpu_ms
from vanillareach.control.reconciler import IDLE_CHECK_INTERVAL_MS
from vanillareach.core.breakers import Breaker
from vanillareach.core.messages import ShareReply, ShareRequest, encode_message
from vanillareach.core.objects import ServiceKind, ServiceSpec
from vanillareach.core.reconciling import ObservedEngine, engines_to_change
from vanillareach.core.shares import SHARE_REQUEST_INTERVAL_MS, ShareGranter
from vanillareach.core.sweeping import expired_requests
from vanillareach.endpoints.engine import EngineOrder, ResidentRequest
from vanillareach.metrics import Metrics
from vanillareach.traces import Traces

NODE_HOT_TEAMS = 2  # teams near their limits at one node
SCRAPE_INTERVAL_S = 15
SPANS_PER_REQUEST = 3


class TeamShares(Role):
    """Granted shares of a team's limits within a domain."""

    name = "team shares"

    def measure(self):
        """Time grants in domains of several sizes."""
        points = []
        for instances in (3, 12, 34, 100):
            granter = ShareGranter()
            rng = random.Random(SEED)

            def grant(granter=granter, instances=instances, rng=rng):
                name = f"node-{rng.randrange(instances)}"
                granter.grant("team", name, rng.random(), 0.0)

            points.append((instances, min_cpu_ms(grant, 500)))
        return [fit_line(self.name, "grant", "ms", "instances of the domain", points)]

    def cost(self, lines_by_quantity):
        """Return the cost of a node that requests and grants shares of hot teams."""
        grant = lines_by_quantity["grant"].value_at(target.NODES_PER_DOMAIN)
        share_requests_per_second = NODE_HOT_TEAMS * 1000 / SHARE_REQUEST_INTERVAL_MS
        messages = (ShareRequest("team-000", "node-000", 0.5), ShareReply(0.25))
        message_bytes = sum(
            len(encode_message(message)) + FRAME_OVERHEAD_BYTES for message in messages
        )
        return Cost(
            self.name,
            "grants of the teams it is home to, for 2 s",
            "asked only above half of what is in force, at most twice a second a team",
            f"a node with {NODE_HOT_TEAMS} hot teams, home to as many; 10 hot teams a "
            "node would take 3 kB/s",
            "a lost home is replaced in 6 s; its grants end after 2 s",
            cpu_percent=core_percent(
                grant + target.PEER_CALL_CPU_MS, 2 * share_requests_per_second
            ),
            bytes_per_second=2 * share_requests_per_second * message_bytes,
            messages_per_second=4 * share_requests_per_second,
        )


class Sweeper(Role):
    """Search for engine requests that no instance waits for any longer."""

    name = "sweeper"

    def measure(self):
        """Time the search over several numbers of requests on an engine."""
        points = []
        for request_count in (10, 50, 200, 800):
            requests = [
                ResidentRequest(str(n), "entry/1", 10**12, 100)
                for n in range(request_count)
            ]
            points.append(
                (
                    request_count,
                    min_cpu_ms(lambda items=requests: expired_requests(items, 0), 100),
                )
            )
        return [fit_line(self.name, "search", "ms", "requests on the engine", points)]

    def cost(self, lines_by_quantity):
        """Return the cost of the search; polling is in the process's idle share."""
        engines = target.ENGINES / target.NODES
        search = lines_by_quantity["search"].value_at(100)
        return Cost(
            self.name,
            "none",
            "deadline in the tag of each request; one reader an engine",
            "reading is in the process row; linear in requests on an engine",
            "another instance of the domain reads on within 6 s",
            cpu_percent=core_percent(search, engines / 2),
        )


class Reconciling(Role):
    """Comparison of wanted and observed engine state, and the resulting orders."""

    name = "reconciler"

    def measure(self):
        """Time the comparison over pools of several sizes."""
        service = ServiceSpec(name="pool", kind=ServiceKind.ENGINE, model="m")
        points = []
        for engines in (14, 34, 100, 600):
            observed_engines = [
                ObservedEngine(f"engine-{n}", EngineOrder("m")) for n in range(engines)
            ]
            points.append(
                (
                    engines,
                    min_cpu_ms(
                        lambda a=observed_engines: engines_to_change(a, service), 50
                    ),
                )
            )
        return [fit_line(self.name, "comparison", "ms", "engines of the pool", points)]

    def cost(self, lines_by_quantity):
        """Return the cost of the node that reconciles one service of mean size."""
        engines = target.ENGINES / target.MODELS
        comparison = lines_by_quantity["comparison"].value_at(engines)
        rate = 1000 / IDLE_CHECK_INTERVAL_MS
        return Cost(
            self.name,
            "one lease while a change is being made",
            "one reconciler a service; engines read each 10 s, in a change each 2 s",
            "a service of 600 engines takes 12% of a core of one node: split by domain",
            "the next preferred instance waits out the lease, 6.5 s, and goes on",
            cpu_percent=core_percent(comparison, rate)
            + core_percent(2.0, engines * rate),
            bytes_per_second=engines * rate * (target.HTTP_OVERHEAD_BYTES + 120),
            messages_per_second=2 * engines * rate,
            platform_writes=0.5,
            platform_reads=0.5,
        )


class Dispatcher(Role):
    """State of a request between admission and response."""

    name = "dispatcher"

    def measure(self):
        """Time the breaker calls of one attempt in pools of several sizes."""
        points = []
        for engines in (18, 150, 600):
            breakers = [Breaker() for _ in range(engines)]

            def check(breakers=breakers):
                allowed = [breaker for breaker in breakers if breaker.allows(1.0)]
                allowed[0].record_dispatch(1.0)
                allowed[0].record_success()

            points.append((engines, min_cpu_ms(check, 100)))
        return [fit_line(self.name, "attempt", "ms", "engines in the pool", points)]

    def cost(self, lines_by_quantity):
        """Return the cost of these calls for a node's share of requests."""
        attempt = lines_by_quantity["attempt"].value_at(target.ENGINES)
        return Cost(
            self.name,
            "one exchange a running request",
            "retry budget a service, breaker an engine, deadline a request",
            "linear in engines a decision",
            "retries are a tenth of requests at most; engines that refuse connections "
            "are left at once",
            cpu_percent=core_percent(attempt, target.REQUESTS_PER_SECOND_PER_NODE),
            is_control=False,
        )


class TraceSpans(Role):
    """Trace spans written as JSON lines."""

    name = "traces"

    def measure(self):
        """Time spans in batches of several sizes."""
        points = []
        for count in (50, 200, 800):
            traces = Traces(os.devnull, "node")

            def write(traces=traces, count=count):
                for _ in range(count):
                    span = traces.start_server_span("entry.request", None)
                    span.set_attribute("outcome", "done")
                    span.end()

            points.append((count, min_cpu_ms(write, 1)))
        return [fit_line(self.name, "spans", "ms", "spans", points)]

    def cost(self, lines_by_quantity):
        """Return the cost of the spans of a node's share of requests."""
        rate = SPANS_PER_REQUEST * target.REQUESTS_PER_SECOND_PER_NODE
        return Cost(
            self.name,
            "none",
            "a span a hop, written at its end",
            "linear in requests",
            "spans of a dead node's running requests are lost",
            cpu_percent=core_percent(lines_by_quantity["spans"].slope, rate),
            is_control=False,
        )


class MetricsRendering(Role):
    """Metrics rendered for a scraper."""

    name = "metrics"

    def measure(self):
        """Time rendering with several numbers of label sets."""
        points = []
        for labels in (10, 100, 400):
            metrics = Metrics()
            for index in range(labels):
                metrics.requests[("generate", "done", str(index))] += 1
            metrics.record_first_token("short", 50)
            points.append((labels, min_cpu_ms(metrics.render, 5)))
        return [fit_line(self.name, "rendering", "ms", "label sets", points)]

    def cost(self, lines_by_quantity):
        """Return the cost of being scraped each 15 s."""
        rendering = lines_by_quantity["rendering"].value_at(60)
        return Cost(
            self.name,
            "counters by kind, outcome and reason; a histogram a length class",
            "no labels that grow with teams or engines",
            "label sets; 60 today",
            "a replaced node starts from zero",
            cpu_percent=core_percent(rendering, 1 / SCRAPE_INTERVAL_S),
            bytes_per_second=60 * 100 / SCRAPE_INTERVAL_S,
        )


UPKEEP_ROLES = (
    TeamShares(),
    Sweeper(),
    Reconciling(),
    Dispatcher(),
    TraceSpans(),
    MetricsRendering(),
)
