"""Leases for control work where two holders would do harm.

A lease is one object at the platform, changed by conditional writes alone. Nobody
compares wall clocks: a holder counts its time from before its own write, and others
wait until they have seen the same renewal for the whole duration. Each change of the
holder raises the fencing number.
"""

import msgspec

LEASE_DURATION_MS = 6000
RENEW_INTERVAL_MS = 2000
DRIFT_MARGIN_MS = 500
ORDER_TIMEOUT_MS = 2000


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as stored.

    Attributes
    ----------
    holder : str
        Name and incarnation.
    fencing : int
        Raised by one with every new holder.
    renewal : str
        Identity of the last renewal, which settles writes with a lost answer.
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
        "_own_holder",
        "_observed",
        "_observed_since_ms",
        "_acquired_ms",
        "_valid_until_ms",
        "_last_written",
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
        """Fencing number of the lease as last seen."""
        return self._observed.fencing if self._observed else 0

    def record_read(self, record, now_ms):
        """Take the stored record, or None if there is none."""
        if self._observed is None or record is None or record != self._observed:
            self._observed_since_ms = now_ms
        self._observed = record
        if record is not None and record == self._last_written:
            # The write stands; its time counts from before it was made.
            self._valid_until_ms = self._write_started_ms + LEASE_DURATION_MS
        elif record is not None and record.holder != self._own_holder:
            self._valid_until_ms = 0.0

    def next_record(self, renewal, now_ms):
        """Return the record to write, or None while another holds the lease."""
        observed = self._observed
        if observed is None:
            self._acquired_ms = now_ms
            return LeaseRecord(self._own_holder, 1, renewal)
        if observed.holder == self._own_holder and now_ms < self._valid_until_ms:
            return LeaseRecord(self._own_holder, observed.fencing, renewal)
        if now_ms - self._observed_since_ms < LEASE_DURATION_MS + DRIFT_MARGIN_MS:
            return None
        # Also when it was held here and lapsed: another may have held it meanwhile.
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
        """Return whether an order may be given now.

        Parameters
        ----------
        now_ms : float
            Time read immediately before the order is sent.
        checks_fencing : bool
            Whether the endpoint refuses old fencing numbers. For one that ignores
            them, the order must end before the lease does, and a new holder waits
            until an order of the old one must have ended.
        """
        if checks_fencing:
            return self.is_held(now_ms)
        window_ms = ORDER_TIMEOUT_MS + DRIFT_MARGIN_MS
        if now_ms < self._acquired_ms + window_ms:
            return False
        return now_ms + window_ms < self._valid_until_ms
