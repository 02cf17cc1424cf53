"""When an instance calls the store, so that all together make few calls.

What one instance reads reaches the others within milliseconds, so normally one calls
for all. The others call when the last confirmation is older than a threshold, which
grows with their rank. In a large fleet only the placers have a rank. The rest call one
after another, at the rate of a few instances; one that hears no placer is on its own
and calls at once.
"""

RANK_DELAY_STEP_MS = 120.0
MAX_FULL_STEP_RANK = 5
# Ranks above `MAX_FULL_STEP_RANK` are delayed by smaller steps, so that they don't all
# call at the same time.
HIGH_RANK_DELAY_STEP_MS = 10.0
MAX_DELAYED_RANK = 35
# How much later the first instance without a rank calls, and the time within which
# `UNRANKED_INSTANCES_PER_SPREAD` of them do.
UNRANKED_DELAY_MS = 1_200.0
UNRANKED_SPREAD_MS = 500.0
UNRANKED_INSTANCES_PER_SPREAD = 4
# Time until a failed call is repeated, by few instances and by one on its own.
RETRY_DELAY_MS = 200.0
ALONE_RETRY_DELAY_MS = 1_000.0
# Number of placers that repeat calls with `RETRY_DELAY_MS`; more wait longer.
RETRYING_PLACERS = 4


def rank_delay_ms(rank):
    """Return how much later an instance calls the store than that of rank 0, in ms."""
    high_rank_steps = max(0, min(rank, MAX_DELAYED_RANK) - MAX_FULL_STEP_RANK)
    return (
        RANK_DELAY_STEP_MS * min(rank, MAX_FULL_STEP_RANK)
        + HIGH_RANK_DELAY_STEP_MS * high_rank_steps
    )


def ranked_wait_ms(rank, age_ms, refresh_age_ms):
    """Return the time until an instance with a rank calls the store; below 0 now.

    Parameters
    ----------
    rank : int
    age_ms : float
        Time since the store's last confirmation; below 0 if there is none.
    refresh_age_ms : float
        Age at which the instance of rank 0 calls.
    """
    if age_ms < 0:
        return 0.0
    return refresh_age_ms + rank_delay_ms(rank) - age_ms


def unranked_wait_ms(place, instance_count, placer_heard_ms_ago, silence_ms, age_ms):
    """Return the time until an instance without a rank calls the store; below 0 now.

    Parameters
    ----------
    place : float
        Place of the instance among those without a rank, 0 to 1.
    instance_count : int
    placer_heard_ms_ago : float
        Time since a placer was heard; infinite if none was.
    silence_ms : float
        Time after which a placer that isn't heard counts as silent.
    age_ms : float
        Age beyond that at which the instance of rank 0 calls.
    """
    alone_wait_ms = UNRANKED_DELAY_MS + UNRANKED_SPREAD_MS * place - age_ms
    if placer_heard_ms_ago >= silence_ms:
        return alone_wait_ms
    spreads = max(1.0, instance_count / UNRANKED_INSTANCES_PER_SPREAD)
    wait_ms = UNRANKED_DELAY_MS + UNRANKED_SPREAD_MS * spreads * place - age_ms
    return min(wait_ms, max(alone_wait_ms, silence_ms - placer_heard_ms_ago))


def retry_delay_ms(rank, placer_count, instance_count, hears_placer):
    """Return the time until a call that has failed is repeated.

    Parameters
    ----------
    rank : int or None
    placer_count : int
        0 in a small fleet.
    instance_count : int
    hears_placer : bool
        Whether an instance without a rank will be told by a placer.
    """
    if rank is not None:
        return RETRY_DELAY_MS * max(1.0, placer_count / RETRYING_PLACERS)
    if hears_placer:
        return RETRY_DELAY_MS * instance_count
    return ALONE_RETRY_DELAY_MS
