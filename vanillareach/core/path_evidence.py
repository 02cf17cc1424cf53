"""What requests tell about the paths from this instance to the endpoints.

A path passes data once bytes of an answer have come back on a connection that was
opened later than the one that failed. Bytes on an older connection prove nothing for
new ones. A single endpoint whose requests are reset or unanswered may be at fault
itself; several at once put the paths in doubt.
"""

import math

# Failures of different endpoints within this time count together.
WINDOW_MS = 2_000.0
MIN_SUSPECTS = 2
# A plain call without a byte after this time counts as unanswered. It is some three
# times the usual time of a call, and less than the shortest usual deadline.
PLAIN_SILENCE_MS = 500.0
# The same for a generation, which is also given a multiple of its predicted time.
STREAM_SILENCE_FACTOR = 1.5
STREAM_SILENCE_SLACK_MS = 600.0
# A peer that reports faults of this many endpoints within the window has the same
# trouble, so the endpoints are the likely cause. Two may fail there by chance.
MIN_PEER_FAULTS = 3
# Faults remembered for one peer, the latest ones, and peers and endpoints for which
# something is remembered.
MAX_PEER_FAULTS = 64
MAX_PEERS = 1_024
MAX_ENDPOINTS = 2_048
# An unanswered generation that pending prefill explains is looked at again after this.
BUSY_EXTENSION_MS = 200.0
# A path is unproven if this share of the paths to its service is dead or in doubt, and
# nothing that was sent over it in this time was answered.
UNPROVEN_SHARE = 0.5
PROVEN_MS = 1_000.0
# Paths that one check asks, and how many of these may be unproven ones, so that dead
# ones are asked again, too.
MAX_CHECKED_PATHS = 4
MAX_UNPROVEN_PATHS = 2


class UnansweredRequest:
    """A request of which no byte of an answer has arrived.

    Attributes
    ----------
    key : tuple of (str, int)
        Id and incarnation of the endpoint.
    flight : InFlightRequest
    sent_ms : float
    silence_ms : float
        Time after which it counts as unanswered.
    due_ms : float
        From when on it counts as unanswered; infinite once that is recorded.
    was_restarted : bool
        Whether it has got its time once more.
    """

    __slots__ = (
        "due_ms",
        "flight",
        "key",
        "sent_ms",
        "silence_ms",
        "was_restarted",
    )

    def __init__(self, key, flight, sent_ms, silence_ms):
        self.key = key
        self.flight = flight
        self.sent_ms = sent_ms
        self.silence_ms = silence_ms
        self.due_ms = sent_ms + silence_ms
        self.was_restarted = False


class PathEvidence:
    """Requests that endpoints swallowed, and faults that peers report.

    Attributes
    ----------
    waiting_by_id : dict of int to UnansweredRequest
        By the id of the flight.
    dead_keys : set of tuple
        Endpoints that left requests and a health check unanswered, until bytes come
        back from them.
    """

    __slots__ = (
        "_answered_ms_by_key",
        "_faults_by_peer",
        "_swallowed_by_key",
        "dead_keys",
        "waiting_by_id",
    )

    def __init__(self):
        self.waiting_by_id = {}
        self.dead_keys = set()
        # When the latest request was sent of which bytes came back.
        self._answered_ms_by_key = {}
        # When the path swallowed a request, and when that request was last known to
        # be on a working connection: bytes must come from a later one.
        self._swallowed_by_key = {}
        self._faults_by_peer = {}

    def record_sent(self, flight, key, silence_ms, now_ms):
        """Record that a request is sent; it is unanswered after `silence_ms`."""
        self.waiting_by_id[flight.id] = UnansweredRequest(
            key, flight, now_ms, silence_ms
        )

    def record_bytes(self, flight, key, sent_ms):
        """Record that the first bytes of an answer arrived."""
        self.waiting_by_id.pop(flight.id, None)
        self.record_answered(key, sent_ms)

    def record_answered(self, key, sent_ms):
        """Record that what was sent to an endpoint at `sent_ms` was answered."""
        if sent_ms <= self._answered_ms_by_key.get(key, -math.inf):
            return
        _put_latest(self._answered_ms_by_key, key, sent_ms, MAX_ENDPOINTS)
        swallowed = self._swallowed_by_key.get(key)
        if swallowed is None or swallowed[1] < sent_ms:
            self._swallowed_by_key.pop(key, None)
            self.dead_keys.discard(key)

    def record_end(self, flight, now_ms):
        """Record that an attempt ended, for example at its deadline.

        Of a generation nothing is known: it may have waited for a prefill.
        """
        waiting = self.waiting_by_id.pop(flight.id, None)
        if waiting is None or flight.prompt_tokens:
            return
        if now_ms >= waiting.due_ms:
            self._record_swallowed(waiting.key, waiting.sent_ms, now_ms)

    def record_reset(self, flight, key, now_ms):
        """Record that the connection of an attempt ended before its answer did."""
        waiting = self.waiting_by_id.pop(flight.id, None)
        since_ms = now_ms if waiting is None else waiting.sent_ms
        self._record_swallowed(key, since_ms, now_ms)

    def record_silence(self, flight, key, now_ms):
        """Record that an attempt is silent, though no prefill explains it."""
        waiting = self.waiting_by_id.get(flight.id)
        since_ms = now_ms
        if waiting is not None:
            since_ms, waiting.due_ms = waiting.sent_ms, math.inf
        self._record_swallowed(key, since_ms, now_ms)

    def _record_swallowed(self, key, since_ms, now_ms):
        if self._answered_ms_by_key.get(key, -math.inf) > since_ms:
            return
        known = self._swallowed_by_key.get(key)
        if known is not None:
            since_ms = max(since_ms, known[1])
        _put_latest(self._swallowed_by_key, key, (now_ms, since_ms), MAX_ENDPOINTS)

    def restart_waiting(self, now_ms):
        """Give all requests without an answer their time once more, but not twice.

        An instance that is always late has to notice dead paths, too.
        """
        for waiting in self.waiting_by_id.values():
            if not waiting.was_restarted:
                waiting.was_restarted = True
                waiting.due_ms = max(waiting.due_ms, now_ms + waiting.silence_ms)

    def overdue(self, now_ms):
        """Return the `UnansweredRequest` records that now count as unanswered."""
        return [w for w in self.waiting_by_id.values() if w.due_ms <= now_ms]

    def waiting_flights(self, key):
        """Return the flights at an endpoint from which no byte has come back."""
        return [w.flight for w in self.waiting_by_id.values() if w.key == key]

    def next_due_ms(self):
        """Return when the next request becomes unanswered; infinite without any."""
        return min((w.due_ms for w in self.waiting_by_id.values()), default=math.inf)

    def suspects(self, now_ms):
        """Return the keys of the endpoints that have just swallowed a request."""
        return [
            key
            for key, (swallowed_ms, _) in self._swallowed_by_key.items()
            if now_ms - swallowed_ms < WINDOW_MS
        ]

    def avoided_ids(self, now_ms):
        """Return the ids of endpoints whose paths are dead or in doubt."""
        if not self._swallowed_by_key and not self.dead_keys:
            return set()
        return {key[0] for key in (*self.dead_keys, *self.suspects(now_ms))}

    def in_doubt(self, now_ms):
        """Return the keys of the endpoints whose paths are in doubt.

        There are none if a single one has swallowed a request: it may have failed.
        """
        suspects = self.suspects(now_ms)
        return suspects if len(suspects) >= MIN_SUSPECTS else []

    def to_check(self, endpoints_by_key, free_keys, random, now_ms):
        """Return the keys of the paths that the next check asks.

        Those in doubt come first, then unproven ones of free endpoints, then dead ones.

        Parameters
        ----------
        endpoints_by_key : dict of tuple to ListedEndpoint
        free_keys : set of tuple
            Endpoints that are known to have a free slot.
        random : random.Random
        now_ms : float

        Returns
        -------
        list of tuple
        """
        in_doubt = [k for k in self.in_doubt(now_ms) if k not in self.dead_keys]
        dead = list(self.dead_keys)
        keys_by_service = {}
        for key, endpoint in endpoints_by_key.items():
            keys_by_service.setdefault(endpoint.service, []).append(key)
        unproven = [
            key
            for keys in keys_by_service.values()
            for key in self._unproven(keys, {*in_doubt, *dead}, now_ms)
            if key in free_keys
        ]
        for keys in (in_doubt, unproven, dead):
            random.shuffle(keys)
        return [*in_doubt, *unproven[:MAX_UNPROVEN_PATHS], *dead][:MAX_CHECKED_PATHS]

    def _unproven(self, keys, bad_keys, now_ms):
        """Return the paths to one service that may be dead like its `bad_keys`."""
        bad_count = sum(key in bad_keys for key in keys)
        if bad_count < max(MIN_SUSPECTS, UNPROVEN_SHARE * len(keys)):
            return []
        return [
            key
            for key in keys
            if key not in bad_keys
            and now_ms - self._answered_ms_by_key.get(key, -math.inf) >= PROVEN_MS
        ]

    def record_unanswered_check(self, key, now_ms):
        """Record that a health check of an endpoint got no answer."""
        self.dead_keys.add(key)
        self._record_swallowed(key, now_ms, now_ms)

    def is_cut_off(self, endpoints):
        """Return whether there are endpoints, and the paths to all of them are dead."""
        return bool(self.dead_keys and endpoints) and all(
            endpoint.key in self.dead_keys for endpoint in endpoints
        )

    def forget_dead(self):
        """Use all paths again, for example because peers have the same trouble."""
        self.dead_keys.clear()

    def keep_only(self, keys):
        """Forget the endpoints that are not among `keys`."""
        self.dead_keys &= keys
        for records in (self._answered_ms_by_key, self._swallowed_by_key):
            for key in records.keys() - keys:
                del records[key]

    def record_peer_fault(self, peer, endpoint_id, now_ms):
        """Record that a peer reports a fault of an endpoint."""
        faults = self._faults_by_peer.get(peer, {})
        _put_latest(faults, endpoint_id, now_ms, MAX_PEER_FAULTS)
        _put_latest(self._faults_by_peer, peer, faults, MAX_PEERS)

    def is_shared(self, peers, count, now_ms):
        """Return whether all of some peers report faults of `count` endpoints.

        Parameters
        ----------
        peers : collection of str
            Names of the peers that say that they have their links.
        count : int
        now_ms : float
        """
        self._faults_by_peer = {
            peer: recent
            for peer, faults in self._faults_by_peer.items()
            if (recent := {e: t for e, t in faults.items() if now_ms - t < WINDOW_MS})
        }
        return bool(peers) and all(
            len(self._faults_by_peer.get(peer, ())) >= count for peer in peers
        )


def _put_latest(records, key, value, max_count):
    """Put a record last, and remove the oldest beyond `max_count`."""
    records.pop(key, None)
    records[key] = value
    if len(records) > max_count:
        del records[next(iter(records))]
