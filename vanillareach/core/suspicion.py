"""Detection of requests that crash the endpoints which run them.

A request is identified by a digest of its content, so a repeated one is recognised at
every instance. After one endpoint was lost while running it, the request is suspect;
after a second one it is quarantined for a period. Losses of several endpoints of one
failure domain at the same time count against no request.
"""

from vanillareach.core.outcomes import Outcome, Reason, Refusal

# Retry-After of a quarantined request, counted from its newest loss.
QUARANTINE_MS = 600_000
# A loss counts against its request for this long.
LOSS_RETENTION_MS = 600_000
# The loss of this many endpoints of a domain within the window is taken as a failure of
# the domain.
CORRELATED_LOSS_WINDOW_MS = 2_000
CORRELATED_LOSS_COUNT = 2
# Number of counted losses from which a request is quarantined.
LOSSES_TO_QUARANTINE = 2
# Maximum number of losses stored; the oldest is evicted.
MAX_LOSSES = 10_000
# Share of a pool's engines that may be reserved for suspect requests, at least one.
MAX_ISOLATED_SHARE = 0.34


def may_isolate_another(states, now_ms):
    """Return whether a further engine of a pool may be reserved for one request."""
    isolated = sum(state.is_isolated(now_ms) for state in states)
    return isolated + 1 <= max(1, len(states) * MAX_ISOLATED_SHARE)


class Loss:
    """Loss of one endpoint while it ran a request.

    Parameters
    ----------
    fingerprint : str
        Digest of the request.
    endpoint, domain : str
        The lost endpoint and its failure domain.
    at_ms : float
        Time of the loss.
    """

    __slots__ = ("at_ms", "domain", "endpoint", "fingerprint")

    def __init__(self, fingerprint, endpoint, domain, at_ms):
        self.fingerprint = fingerprint
        self.endpoint = endpoint
        self.domain = domain
        self.at_ms = at_ms


class CrashTracker:
    """Endpoint losses known to one instance, observed by it or reported by peers."""

    __slots__ = ("_losses_by_fingerprint", "_losses_by_key")

    def __init__(self):
        self._losses_by_fingerprint = {}
        self._losses_by_key = {}

    def record_loss(self, loss):
        """Record a loss; return whether it was unknown."""
        key = (loss.fingerprint, loss.endpoint)
        if key in self._losses_by_key:
            return False
        if len(self._losses_by_key) >= MAX_LOSSES:
            self._evict_oldest()
        self._losses_by_key[key] = loss
        self._losses_by_fingerprint.setdefault(loss.fingerprint, []).append(loss)
        return True

    def clear(self, fingerprint):
        """Remove the losses of a request that ran in isolation without a crash."""
        for loss in self._losses_by_fingerprint.pop(fingerprint, ()):
            del self._losses_by_key[(loss.fingerprint, loss.endpoint)]

    def is_suspect(self, fingerprint, now_ms):
        """Return whether a request has to run in isolation."""
        return self.counted_losses(fingerprint, now_ms) >= 1

    def losses_of(self, fingerprint):
        """Return the recorded losses of a request."""
        return tuple(self._losses_by_fingerprint.get(fingerprint, ()))

    def recent_losses(self, since_ms):
        """Return the losses since `since_ms`."""
        return [loss for loss in self._losses_by_key.values() if loss.at_ms >= since_ms]

    def refusal(self, fingerprint, now_ms):
        """Return the refusal of a quarantined request, or None."""
        if self.counted_losses(fingerprint, now_ms) < LOSSES_TO_QUARANTINE:
            return None
        newest_ms = max(x.at_ms for x in self._losses_by_fingerprint[fingerprint])
        return Refusal(
            Reason.QUARANTINED,
            "endpoints were lost while running this very request; it is refused "
            "for a while",
            Outcome.NOT_RUN,
            retry_after_ms=newest_ms + QUARANTINE_MS - now_ms,
        )

    def counted_losses(self, fingerprint, now_ms):
        """Return the number of losses that count against a request.

        Correlated losses and those past their retention are left out.
        """
        losses = self._losses_by_fingerprint.get(fingerprint, ())
        return sum(
            now_ms - loss.at_ms < LOSS_RETENTION_MS and not self._is_correlated(loss)
            for loss in losses
        )

    def _is_correlated(self, loss):
        """Return whether endpoints that never ran the request were lost with it.

        Endpoints that did run it are not counted: their loss is no sign of a failure of
        the domain.
        """
        same_request = self._losses_by_fingerprint[loss.fingerprint]
        ran_at = {other.endpoint for other in same_request}
        others = {
            other.endpoint
            for other in self._losses_by_key.values()
            if other.domain == loss.domain
            and other.endpoint not in ran_at
            and abs(other.at_ms - loss.at_ms) <= CORRELATED_LOSS_WINDOW_MS
        }
        return len(others) >= CORRELATED_LOSS_COUNT - 1

    def _evict_oldest(self):
        key = min(self._losses_by_key, key=lambda key: self._losses_by_key[key].at_ms)
        loss = self._losses_by_key.pop(key)
        losses = self._losses_by_fingerprint[loss.fingerprint]
        losses.remove(loss)
        if not losses:
            del self._losses_by_fingerprint[loss.fingerprint]
