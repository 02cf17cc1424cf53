"""Membership of instances: probes, suspicion, refutation and dissemination.

Follows SWIM (Das, Gupta, Motivala, 2002): each interval a member probes one other in a
shuffled order. Changed member records are piggybacked on probes and acknowledgements,
each of them a number of times that grows with the logarithm of the fleet's size. So the
load of a member does not grow with the fleet.
"""

import math

import msgspec

from vanillareach.core.messages import Ack, MemberState, Ping

PROBE_INTERVAL_MS = 1000
PROBE_TIMEOUT_MS = 300
INDIRECT_PROBE_TIMEOUT_MS = 600
# Members that are asked to probe one that did not respond to a direct probe.
INDIRECT_PROBES = 2
# A suspect that does not refute the suspicion within this time is considered gone.
SUSPICION_TIMEOUT_MS = 5_000
GONE_RETENTION_MS = 3_600_000
MAX_RECORDS_PER_MESSAGE = 8
# A changed record is sent this many times per binary logarithm of the fleet's size.
RETRANSMIT_FACTOR = 3


class Member:
    """One other instance."""

    __slots__ = ("changed_ms", "record")

    def __init__(self, record, now_ms):
        self.record = record
        self.changed_ms = now_ms


class Membership:
    """The members of the fleet as known to one instance.

    Parameters
    ----------
    own : MemberRecord
        Record of this instance.
    random : random.Random

    Attributes
    ----------
    members_by_name : dict of str to Member
        All other members, including those gone until their retention ends.
    """

    def __init__(self, own, random):
        self.own = own
        self.members_by_name = {}
        self._random = random
        self._probe_order = []
        self._sends_left_by_name = {}

    def alive(self, domain=None):
        """Return the records of members that are neither leaving nor gone.

        This instance is included while it is not leaving.

        Parameters
        ----------
        domain : str or None
            Failure domain to which the result is restricted.
        """
        records = [self.own, *(m.record for m in self.members_by_name.values())]
        return [
            record
            for record in records
            if record.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and domain in (None, record.domain)
        ]

    def reachable(self):
        """Return the records of the other members that are not gone."""
        return [
            member.record
            for member in self.members_by_name.values()
            if member.record.state is not MemberState.GONE
        ]

    def gone(self):
        """Return the records of members that are gone."""
        return [
            member.record
            for member in self.members_by_name.values()
            if member.record.state is MemberState.GONE
        ]

    def live_records(self):
        """Return the records of the other members that are alive or leaving."""
        return tuple(
            member.record
            for member in self.members_by_name.values()
            if member.record.state < MemberState.SUSPECT
        )

    def records_at(self, address):
        """Return the known records of members at one address."""
        return tuple(
            member.record
            for member in self.members_by_name.values()
            if member.record.address == address
        )

    def next_probe(self):
        """Return the record of the member to probe now, or None if there is none."""
        while True:
            if not self._probe_order:
                self._probe_order = [record.name for record in self.reachable()]
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self.members_by_name.get(self._probe_order.pop())
            if member is not None and member.record.state is not MemberState.GONE:
                return member.record

    def indirect_probers(self, target):
        """Return members to ask for an indirect probe of `target`."""
        others = [r for r in self.reachable() if r.name != target]
        return self._random.sample(others, min(INDIRECT_PROBES, len(others)))

    def sample(self, count):
        """Return up to `count` random members that are not gone."""
        others = self.reachable()
        return self._random.sample(others, min(count, len(others)))

    def ping(self, digest):
        """Return the heartbeat to send now."""
        return Ping(self.own, self._records_to_send(), digest)

    def ack(self, digest):
        """Return the acknowledgement of a heartbeat."""
        return Ack(self.own, self._records_to_send(), digest)

    def merge_full_list(self, sender, records, now_ms):
        """Merge a full list of members.

        The other members know the list already; only the sender's record is sent on.
        """
        self.merge(sender, now_ms)
        for record in records:
            self.merge(record, now_ms, should_spread=False)

    def merge_gossip(self, sender, records, now_ms):
        """Merge the records of a message, which shows that its sender is alive.

        Returns
        -------
        bool
            Whether the sender was unknown or considered gone.
        """
        known = self.members_by_name.get(sender.name)
        was_lost = known is None or known.record.state is MemberState.GONE
        self.merge(sender, now_ms)
        for record in records:
            self.merge(record, now_ms)
        return was_lost

    def merge(self, record, now_ms, should_spread=True):
        """Store one record if it overrides the known one.

        Parameters
        ----------
        record : MemberRecord
        now_ms : float
        should_spread : bool
            Whether a stored record is sent on with the next messages.

        Returns
        -------
        bool
            Whether anything changed.
        """
        if record.name == self.own.name:
            return self._refute(record, now_ms)
        known = self.members_by_name.get(record.name)
        if known is not None and not _overrides(record, known.record):
            return False
        if known is None and record.state is MemberState.GONE:
            return False
        self.members_by_name[record.name] = Member(record, now_ms)
        if should_spread:
            self._queue_for_sending(record.name)
        return True

    def restore_after_partition(self, records, now_ms):
        """Restore members that were considered gone because of a partition.

        A member that was considered gone and now responds shows that a partition has
        ended. `records` are those that it reports. Members that it reports as alive,
        under the incarnation known here, were cut off together with it. If one of them
        did fail meanwhile, the next probe detects that.
        """
        for record in records:
            known = self.members_by_name.get(record.name)
            if (
                known is not None
                and known.record.state is MemberState.GONE
                and record.state < MemberState.SUSPECT
                and record.incarnation == known.record.incarnation
            ):
                self.members_by_name[record.name] = Member(record, now_ms)

    def mark_suspect(self, name, now_ms):
        """Record that neither direct nor indirect probes reached `name`."""
        member = self.members_by_name.get(name)
        if member is None or member.record.state >= MemberState.SUSPECT:
            return
        self._set_state(member, MemberState.SUSPECT, now_ms)

    def expire(self, now_ms):
        """Mark unrefuted suspects as gone; remove members past their retention."""
        for name, member in list(self.members_by_name.items()):
            age_ms = now_ms - member.changed_ms
            if (
                member.record.state is MemberState.SUSPECT
                and age_ms >= SUSPICION_TIMEOUT_MS
            ):
                self._set_state(member, MemberState.GONE, now_ms)
            elif member.record.state is MemberState.GONE and (
                age_ms >= GONE_RETENTION_MS
            ):
                del self.members_by_name[name]

    def leave(self):
        """Mark this instance as leaving; the next messages spread its record."""
        self.own = msgspec.structs.replace(self.own, state=MemberState.LEAVING)
        self._queue_for_sending(self.own.name)

    def _set_state(self, member, state, now_ms):
        member.record = msgspec.structs.replace(member.record, state=state)
        member.changed_ms = now_ms
        self._queue_for_sending(member.record.name)

    def _refute(self, record, now_ms):
        """Raise the own incarnation if peers consider this instance suspect or gone.

        Returns whether `record` had to be refuted.
        """
        if record.state < MemberState.SUSPECT:
            return False
        if record.incarnation < self.own.incarnation:
            return False
        self.own = msgspec.structs.replace(self.own, incarnation=record.incarnation + 1)
        self._queue_for_sending(self.own.name)
        return True

    def _queue_for_sending(self, name):
        size = len(self.members_by_name) + 1
        self._sends_left_by_name[name] = RETRANSMIT_FACTOR * max(
            1, math.ceil(math.log2(size + 1))
        )

    def _records_to_send(self):
        """Return the records to send now, those with the most sends left first."""
        left = self._sends_left_by_name
        names = sorted(left, key=left.get, reverse=True)[:MAX_RECORDS_PER_MESSAGE]
        records = []
        for name in names:
            left[name] -= 1
            if left[name] <= 0:
                del left[name]
            member = self.members_by_name.get(name)
            if member is not None:
                records.append(member.record)
        return tuple(records)


def _overrides(record, known):
    """Return whether a record replaces the known one of the same member."""
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    return record.state > known.state
