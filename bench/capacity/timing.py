"""Processor time and allocated memory of functions of the core."""

import gc
import time
import tracemalloc

REPETITIONS = 5


def min_cpu_ms(run, count):
    """Return the milliseconds of processor time of a run, in the fastest repetition.

    A repetition is the mean of `count` runs.
    """
    best = None
    for _ in range(REPETITIONS):
        started = time.process_time()
        for _ in range(count):
            run()
        spent_ms = (time.process_time() - started) * 1000 / count
        best = spent_ms if best is None else min(best, spent_ms)
    return best


def measure_allocated_bytes(build):
    """Return the result of `build` and the bytes that stay allocated for it."""
    gc.collect()
    tracemalloc.start()
    built_object = build()
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return built_object, allocated_bytes
