"""Time per byte of the event splitter for one event of several sizes.

Run by hand: ``python -m bench.splitting``. A ratio near 1 shows linear cost.
"""

import time

from vanillareach.core.event_stream import EventSplitter

MIB = 1024 * 1024
SIZES_BYTES = (MIB, 4 * MIB, 16 * MIB)
SMALLEST_CHUNK_BYTES = 1
CHUNKS_BYTES = (SMALLEST_CHUNK_BYTES, 1024, 65_536)
REPEATS = 3


def time_per_byte_ns(size, chunk):
    """Return the least time of several runs, per byte."""
    times_ns = []
    for _ in range(REPEATS):
        splitter, data = EventSplitter(max_event_bytes=size), b"x" * chunk
        start_ns = time.process_time_ns()
        for _ in range(size // chunk):
            splitter.feed(data)
        times_ns.append(time.process_time_ns() - start_ns)
    return min(times_ns) / size


def main():
    """Print the time per byte of each size and its ratio to the smallest size's."""
    for chunk in CHUNKS_BYTES:
        # Single bytes cost a call each; the smallest size shows the cost of one.
        sizes = SIZES_BYTES[:1] if chunk == SMALLEST_CHUNK_BYTES else SIZES_BYTES
        base_ns = time_per_byte_ns(sizes[0], chunk)
        for size in sizes:
            per_byte_ns = base_ns if size == sizes[0] else time_per_byte_ns(size, chunk)
            print(
                f"chunk {chunk:6d} B, {size // MIB:2d} MiB: {per_byte_ns:8.2f} ns/B, "
                f"ratio {per_byte_ns / base_ns:.2f}"
            )


if __name__ == "__main__":
    main()
