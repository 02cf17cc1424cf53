"""Requests that crash the endpoints which run them.

A request is known by a digest of its content, so a re-sent one is recognised through
whichever instance it comes. One endpoint lost while running it makes it suspect; a
second one quarantines it for a period. Endpoints of one failure domain that are lost
together count against no request.
"""

from vanillareach.core.outcomes import Outcome, Reason, Refusal

QUARANTINE_MS = 600_000
MEMORY_MS = 600_000
TOGETHER_MS = 2_000
TOGETHER_COUNT = 2
LOSSES_TO_QUARANTINE = 2
MAX_LOSSES = 10_000
MAX_ISOLATED_SHARE = 0.34


def may_isolate_another(states, now_ms):
    """Return whether a further engine of a pool may be kept for one request."""
    isolated = sum(state.is_isolated(now_ms) for state in states)
    return isolated + 1 <= max(1, len(states) * MAX_ISOLATED_SHARE)


class Loss:
    """One endpoint lost while it ran a request."""

    __slots__ = ("at_ms", "domain", "endpoint", "fingerprint")

    def __init__(self, fingerprint, endpoint, domain, at_ms):
        self.fingerprint = fingerprint
        self.endpoint = endpoint
        self.domain = domain
        self.at_ms = at_ms


class CrashWatch:
    """Losses known to one instance, its own and those its peers told of."""

    __slots__ = ("_losses_by_fingerprint", "_losses_by_place")

    def __init__(self):
        self._losses_by_fingerprint = {}
        self._losses_by_place = {}

    def note_loss(self, loss):
        """Record a loss; return whether it was news."""
        place = (loss.fingerprint, loss.endpoint)
        if place in self._losses_by_place:
            return False
        if len(self._losses_by_place) >= MAX_LOSSES:
            self._forget_oldest()
        self._losses_by_place[place] = loss
        self._losses_by_fingerprint.setdefault(loss.fingerprint, []).append(loss)
        return True

    def clear(self, fingerprint):
        """Forget the losses of a request that ran alone without harm."""
        for loss in self._losses_by_fingerprint.pop(fingerprint, ()):
            del self._losses_by_place[(loss.fingerprint, loss.endpoint)]

    def is_suspect(self, fingerprint, now_ms):
        """Return whether a request has to be run alone."""
        return self.counted(fingerprint, now_ms) >= 1

    def losses_of(self, fingerprint):
        """Return the recorded losses of a request."""
        return tuple(self._losses_by_fingerprint.get(fingerprint, ()))

    def recent(self, since_ms):
        """Return the losses since `since_ms`."""
        return [
            loss for loss in self._losses_by_place.values() if loss.at_ms >= since_ms
        ]

    def refusal(self, fingerprint, now_ms):
        """Return the refusal of a quarantined request, or None."""
        if self.counted(fingerprint, now_ms) < LOSSES_TO_QUARANTINE:
            return None
        newest_ms = max(x.at_ms for x in self._losses_by_fingerprint[fingerprint])
        return Refusal(
            Reason.QUARANTINED,
            "endpoints were lost while running this very request; it is refused "
            "for a while",
            Outcome.NOT_RUN,
            retry_after_ms=newest_ms + QUARANTINE_MS - now_ms,
        )

    def counted(self, fingerprint, now_ms):
        """Return how many endpoints were lost by what a request does to them.

        Those lost together with others that didn't run it are left out.
        """
        losses = self._losses_by_fingerprint.get(fingerprint, ())
        return sum(
            now_ms - loss.at_ms < MEMORY_MS and not self._was_with_others(loss)
            for loss in losses
        )

    def _was_with_others(self, loss):
        """Return whether endpoints that never ran the request were lost with it.

        An endpoint that did run it tells nothing, whoever else was there.
        """
        own = self._losses_by_fingerprint[loss.fingerprint]
        ran_at = {other.endpoint for other in own}
        others = {
            other.endpoint
            for other in self._losses_by_place.values()
            if other.domain == loss.domain
            and other.endpoint not in ran_at
            and abs(other.at_ms - loss.at_ms) <= TOGETHER_MS
        }
        return len(others) >= TOGETHER_COUNT - 1

    def _forget_oldest(self):
        place = min(
            self._losses_by_place, key=lambda key: self._losses_by_place[key].at_ms
        )
        loss = self._losses_by_place.pop(place)
        losses = self._losses_by_fingerprint[loss.fingerprint]
        losses.remove(loss)
        if not losses:
            del self._losses_by_fingerprint[loss.fingerprint]
