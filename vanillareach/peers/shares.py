"""Enforces team limits across all instances of a failure domain."""

from vanillareach.core.messages import Nack, ShareReply, ShareRequest
from vanillareach.core.outcomes import Reason
from vanillareach.core.shares import (
    GrantedShares,
    ShareGranter,
    scaled_limits,
    team_home,
)
from vanillareach.peers.link import PeerUnresponsiveError

SHARE_REQUEST_TIMEOUT_MS = 300
TEAM_LIMIT_REASONS = (Reason.TEAM_LIMIT, Reason.RATE_LIMITED)


class SharedAdmission:
    """Admits requests within this instance's share of their team's limits.

    Parameters
    ----------
    admission : AdmissionController
    fleet : Fleet
    link : PeerLink
    clock : Clock
    """

    def __init__(self, admission, fleet, link, clock):
        self._admission = admission
        self._fleet = fleet
        self._membership = fleet.membership
        self._link = link
        self._clock = clock
        self._share_granter = ShareGranter()
        self._granted_shares = GrantedShares()
        fleet.add_handler(ShareRequest, self._on_request)

    async def admit(self, team, estimate):
        """Admit one request; see `AdmissionController.admit`."""
        now_ms = self._clock.now_ms()
        permit = self._admit_locally(team, estimate, now_ms)
        utilization = self._admission.utilization(team.name)
        refused = not permit and permit.reason in TEAM_LIMIT_REASONS
        wants_more = self._granted_shares.should_request_share(
            team.name, 1.0 if refused else utilization, now_ms
        )
        if not wants_more:
            return permit
        await self._request_share(team)
        if refused:
            return self._admit_locally(team, estimate, self._clock.now_ms())
        return permit

    def release(self, permit):
        """Release the capacity reserved for an admitted request."""
        self._admission.release(permit)

    def _admit_locally(self, team, estimate, now_ms):
        own = self._membership.own
        fraction = self._granted_shares.limits_fraction(
            team.name,
            len(self._membership.alive(own.domain)),
            self._domain_count(),
            now_ms,
        )
        limits = scaled_limits(team.limits, fraction)
        return self._admission.admit(team.name, limits, estimate, now_ms)

    async def _request_share(self, team):
        own = self._membership.own
        records = self._membership.alive(own.domain)
        addresses_by_name = {record.name: record.address for record in records}
        home = team_home(team.name, addresses_by_name)
        now_ms = self._clock.now_ms()
        domain_limits = scaled_limits(team.limits, 1 / self._domain_count())
        demand = self._admission.demand(team.name, domain_limits, now_ms)
        if home is None or home == own.name:
            fraction = self._share_granter.grant(team.name, own.name, demand, now_ms)
            self._granted_shares.record_grant(team.name, fraction, now_ms)
            return
        request = ShareRequest(team.name, own.name, demand)
        try:
            reply = await self._link.call(
                addresses_by_name[home], request, SHARE_REQUEST_TIMEOUT_MS
            )
        except PeerUnresponsiveError:
            reply = Nack()
        if isinstance(reply, ShareReply):
            self._granted_shares.record_grant(team.name, reply.fraction, now_ms)

    def _domain_count(self):
        """Return the number of failure domains, including unreachable ones."""
        return len(self._fleet.state.domains() | {self._membership.own.domain})

    async def _on_request(self, request):
        fraction = self._share_granter.grant(
            request.team, request.instance, request.demand, self._clock.now_ms()
        )
        return ShareReply(fraction)
