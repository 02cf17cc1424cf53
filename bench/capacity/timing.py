"""Processor time and memory of pieces of the core."""

import gc
import time
import tracemalloc

REPEATS = 5


def cpu_ms(run, count):
    """Return the least processor time of one of `count` runs, in milliseconds."""
    best = None
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(count):
            run()
        spent = (time.process_time() - started) * 1000 / count
        best = spent if best is None else min(best, spent)
    return best


def memory_bytes(build):
    """Return what `build` returns and the bytes it keeps allocated."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return built, allocated_bytes
