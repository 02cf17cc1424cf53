"""Leases for control work that must have one holder at a time.

A lease is one object at the platform, changed only by conditional writes. No wall
clocks are compared: a holder measures the duration from before its own write, and
others wait until they have read the same renewal for the whole duration. Each change of
the holder increments the fencing number.
"""

import msgspec

LEASE_DURATION_MS = 6000
RENEW_INTERVAL_MS = 2000
# Margin for clocks that run at different rates.
DRIFT_MARGIN_MS = 500
# Timeout of one order to an engine.
ORDER_TIMEOUT_MS = 2000


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as stored.

    Attributes
    ----------
    holder : str
        Name and incarnation of the instance that holds the lease.
    fencing : int
        Fencing number; raised by one with every new holder.
    renewal : str
        Identity of the last renewal, by which a writer recognises its own write when
        the response was lost.
    """

    holder: str
    fencing: int
    renewal: str


class Lease:
    """One instance's view of one lease.

    Parameters
    ----------
    own_holder : str
        Name and incarnation of this instance.
    """

    __slots__ = (
        "_acquired_ms",
        "_last_written",
        "_observed",
        "_observed_since_ms",
        "_own_holder",
        "_valid_until_ms",
        "_write_started_ms",
    )

    def __init__(self, own_holder):
        self._own_holder = own_holder
        self._observed = None
        self._observed_since_ms = 0.0
        self._valid_until_ms = 0.0
        self._acquired_ms = 0.0
        self._last_written = None
        self._write_started_ms = 0.0

    @property
    def fencing(self):
        """Fencing number of the lease as last read."""
        return self._observed.fencing if self._observed else 0

    def record_read(self, record, now_ms):
        """Record what was read of the lease; `record` is None if none is stored."""
        if self._observed is None or record is None or record != self._observed:
            self._observed_since_ms = now_ms
        self._observed = record
        if record is not None and record == self._last_written:
            # The write succeeded; the lease is valid from before the write began.
            self._valid_until_ms = self._write_started_ms + LEASE_DURATION_MS
        elif record is not None and record.holder != self._own_holder:
            self._valid_until_ms = 0.0

    def next_record(self, renewal, now_ms):
        """Return the record to write, or None while another may hold the lease."""
        observed = self._observed
        if observed is None:
            self._acquired_ms = now_ms
            return LeaseRecord(self._own_holder, 1, renewal)
        if observed.holder == self._own_holder and now_ms < self._valid_until_ms:
            return LeaseRecord(self._own_holder, observed.fencing, renewal)
        if now_ms - self._observed_since_ms < LEASE_DURATION_MS + DRIFT_MARGIN_MS:
            return None
        # An expired lease of this instance gets a new fencing number too, as another
        # instance may have held it in the meantime.
        self._acquired_ms = now_ms
        return LeaseRecord(self._own_holder, observed.fencing + 1, renewal)

    def record_write_start(self, record, now_ms):
        """Record that a write begins."""
        self._last_written = record
        self._write_started_ms = now_ms

    def is_held(self, now_ms):
        """Return whether this instance holds the lease."""
        return now_ms < self._valid_until_ms

    def may_order(self, now_ms, checks_fencing):
        """Return whether an order may be sent now.

        Parameters
        ----------
        now_ms : float
            Time read immediately before the order is sent.
        checks_fencing : bool
            Whether the engine rejects old fencing numbers. With an engine that ignores
            them, an order must end before the lease does, and a new holder waits until
            any order of the previous holder must have ended.
        """
        if checks_fencing:
            return self.is_held(now_ms)
        window_ms = ORDER_TIMEOUT_MS + DRIFT_MARGIN_MS
        if now_ms < self._acquired_ms + window_ms:
            return False
        return now_ms + window_ms < self._valid_until_ms
