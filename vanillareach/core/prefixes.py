"""Prompt prefixes as chained block hashes, and estimates of what engines cache."""

import xxhash

BLOCK_BYTES = 2048


def block_hashes(prompt):
    """Return the chained hash of every complete block of `prompt`.

    Parameters
    ----------
    prompt : bytes
        Prompt text.

    Returns
    -------
    list of int
        Hash ``i`` covers the first ``(i + 1) * BLOCK_BYTES`` bytes.
    """
    state = xxhash.xxh3_64()
    hashes = []
    view = memoryview(prompt)
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state.update(view[start : start + BLOCK_BYTES])
        hashes.append(state.intdigest())
    return hashes


class PrefixCacheEstimate:
    """Prefix blocks that one engine is estimated to cache, by dispatches and events.

    Parameters
    ----------
    retention_ms : float
        Time after which a block that was not used again no longer counts as cached.
    limit : int
        Maximum number of blocks stored; the least recently used is evicted.

    Attributes
    ----------
    sequence : int
        Number of the last cache event applied; 0 before the first.
    """

    __slots__ = ("_limit", "_retention_ms", "_seen_ms_by_hash", "sequence")

    def __init__(self, retention_ms=600_000.0, limit=4096):
        self._retention_ms = retention_ms
        self._limit = limit
        self._seen_ms_by_hash = {}
        self.sequence = 0

    def __len__(self):
        return len(self._seen_ms_by_hash)

    def record_blocks(self, hashes, now_ms):
        """Record that the engine prefills or uses these blocks."""
        for block_hash in hashes:
            self._seen_ms_by_hash.pop(block_hash, None)
            self._seen_ms_by_hash[block_hash] = now_ms
        while len(self._seen_ms_by_hash) > self._limit:
            del self._seen_ms_by_hash[next(iter(self._seen_ms_by_hash))]

    def apply_cache_events(self, first_sequence, stored, removed, now_ms):
        """Apply one batch of cache events.

        A gap in the sequence clears the estimate first, as the lost events may have
        removed any block.

        Parameters
        ----------
        first_sequence : int
            Number of the first event of the batch.
        stored, removed : list of int
            Hashes of the blocks that the engine has stored, and removed.
        now_ms : float
        """
        if self.sequence and first_sequence > self.sequence + 1:
            self._seen_ms_by_hash.clear()
        self.record_blocks(stored, now_ms)
        for block_hash in removed:
            self._seen_ms_by_hash.pop(block_hash, None)
        self.sequence = first_sequence + len(stored) + len(removed) - 1

    def count_cached_blocks(self, hashes, now_ms, retention_ms=None):
        """Return how many leading blocks are estimated to be cached.

        Parameters
        ----------
        hashes : list of int
        now_ms : float
        retention_ms : float or None
            Time for which the engine caches a block that is not used again. The
            retention of this estimate is its upper bound, and is used if it is None.
        """
        retention_ms = min(self._retention_ms, retention_ms or self._retention_ms)
        oldest_ms = now_ms - retention_ms
        count = 0
        for block_hash in hashes:
            seen_ms = self._seen_ms_by_hash.get(block_hash)
            if seen_ms is None or seen_ms < oldest_ms:
                break
            count += 1
        return count
