"""Builds the components of one instance on ports: sockets or test doubles."""

from dataclasses import dataclass

import trio

from vanillareach.control.claims import LocalLedger
from vanillareach.control.configurations import ConfigurationWriter
from vanillareach.control.follower import PlatformFollower
from vanillareach.control.object_api import Platform
from vanillareach.control.reconciler import Reconciler
from vanillareach.core.admission import AdmissionController
from vanillareach.core.configuration import ConfigurationView, VersionedStore
from vanillareach.core.directory import Directory
from vanillareach.core.membership import Membership
from vanillareach.core.messages import MemberRecord
from vanillareach.core.placement import PredictedTimePolicy
from vanillareach.core.spreading import FleetState
from vanillareach.core.work import TokenEstimator
from vanillareach.endpoints.base import EndpointPort
from vanillareach.endpoints.engine import EngineClient
from vanillareach.endpoints.monitor import EngineMonitor
from vanillareach.entry.app import EntryApp
from vanillareach.entry.callers import CallerRoutes
from vanillareach.entry.operators import OperatorRoutes
from vanillareach.entry.parts import EntryComponents
from vanillareach.entry.services import ServiceRoutes
from vanillareach.metrics import Metrics
from vanillareach.peers.claims import RoutedLedger
from vanillareach.peers.fleet import Fleet
from vanillareach.peers.link import PeerLink
from vanillareach.peers.loads import LoadSharing
from vanillareach.peers.shares import SharedAdmission
from vanillareach.traces import Traces


@dataclass(slots=True)
class Ports:
    """Interfaces through which an instance reaches other processes.

    Attributes
    ----------
    platform : Platform
    endpoints : EndpointPort
        Transport for callers' requests.
    control_endpoints : EndpointPort
        Transport for control calls to endpoints.
    link : PeerLink
    """

    platform: Platform
    endpoints: EndpointPort
    control_endpoints: EndpointPort
    link: PeerLink


@dataclass(slots=True)
class Node:
    """One instance: its ASGI application and the components with background tasks."""

    components: EntryComponents
    fleet: Fleet
    follower: PlatformFollower
    engine_monitor: EngineMonitor
    load_sharing: LoadSharing
    reconciler: Reconciler
    app: EntryApp

    async def run(self):
        """Run the background tasks of the components until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fleet.run)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.engine_monitor.run)
            nursery.start_soon(self.load_sharing.run)
            nursery.start_soon(self.reconciler.run)


def build_node(settings, clock, random, nursery, ports):
    """Build all components of an instance; none of their tasks is started.

    Parameters
    ----------
    settings : Settings
    clock : Clock
    random : random.Random
    nursery : trio.Nursery
        Nursery for tasks that are started on demand.
    ports : Ports

    Returns
    -------
    Node
    """
    incarnation = clock.wall_ms()
    own_record = MemberRecord(
        settings.name, settings.domain, settings.peer_listen, incarnation
    )
    state = FleetState(VersionedStore(), Directory())
    fleet = Fleet(
        ports.link,
        clock,
        Membership(own_record, random),
        state,
        list(filter(None, settings.peer_seeds.split(","))),
        random,
    )
    local_ledger = LocalLedger(ports.platform, clock, nursery, settings.ledger_shards)
    ledger = RoutedLedger(
        local_ledger, fleet, ports.link, clock, settings.ledger_shards
    )
    components = EntryComponents(
        settings=settings,
        clock=clock,
        metrics=Metrics(),
        traces=Traces(settings.trace_file, settings.name),
        fleet_state=state,
        store=state.store,
        directory=state.directory,
        admission=SharedAdmission(AdmissionController(), fleet, ports.link, clock),
        estimator=TokenEstimator(),
        placement=PredictedTimePolicy(),
        retry_budgets_by_service={},
        endpoints=ports.endpoints,
        ledger=ledger,
        fleet=fleet,
        owner=f"{settings.name}/{incarnation}",
        random=random,
        view_type=ConfigurationView,
    )
    load_sharing = LoadSharing(
        fleet, ports.link, clock, state.directory, settings.load_interval_ms
    )
    configuration_writer = ConfigurationWriter(ports.platform, state.store)
    app = EntryApp(
        components,
        CallerRoutes(components),
        ServiceRoutes(components),
        OperatorRoutes(components, configuration_writer, fleet),
    )
    return Node(
        components,
        fleet,
        PlatformFollower(ports.platform, clock, fleet),
        EngineMonitor(
            components, EngineClient(ports.control_endpoints), fleet, load_sharing
        ),
        load_sharing,
        Reconciler(
            components, ports.platform, EngineClient(ports.control_endpoints), fleet
        ),
        app,
    )
