"""A stopping gateway cuts streams that it took between 3.0 and 3.2 s after SIGTERM."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.case import Case, request_headers, run_case  # noqa: E402
from common.configs import ENGINE, MODEL_HOST, model_config, token_headers  # noqa: E402
from common.engine import Engine  # noqa: E402
from common.http import Channel  # noqa: E402

# By the published figures such a stream takes 3.1 s.
EVENTS = 70
# Two of the engines slow down when they are nearly full, and tell it as their pace.
FULL_PACES = (1.6, 1.6, 1.0)
EVENT_S = ENGINE["stride"] * ENGINE["step_ms"] / 1000
ANSWER_TOKENS = EVENTS * ENGINE["stride"]
CHANNELS = 8
FIRST_S, STEP_S = 3.04, 0.015
# A request that was sent no later than this after the signal is excused.
EXCUSED_S = 3.0
PATH = "/overview/1"


def headers_of(attempt_id):
    """Return the headers of a request for a stream."""
    parts = f"5c1e07a2:40,{attempt_id}:4960"
    return request_headers(
        MODEL_HOST, attempt_id, token_headers(parts, 5000, ANSWER_TOKENS)
    )


async def ask_at(case, channel, at_s, term_s):
    """Send a request on a kept channel at a time; return what the client saw."""
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))
    attempt_id = case.new_id()
    sent_s = time.monotonic()
    answer = await channel.ask("POST", PATH, headers_of(attempt_id), b"prompt")
    events = answer.body.count(b"\n\n")
    case.note(
        f"{attempt_id}: sent {sent_s - term_s:.3f} s after the signal,"
        f" status {answer.status}, {events} of {EVENTS} events,"
        f" complete: {answer.is_complete},"
        f" ended {time.monotonic() - term_s:.3f} s after it"
    )
    return attempt_id, sent_s, answer


async def play(case: Case):
    """Stop a gateway to which requesters hold idle channels, as planned."""
    case.store.put("config", "main", model_config())
    zones = ("zone-a", "zone-b", "zone-c")
    for number, full_pace in enumerate(FULL_PACES):
        engine = Engine(
            case.store,
            f"i-{number}",
            "model-pool",
            zones[number % len(zones)],
            work_s=0.05,
            events=EVENTS,
            event_s=EVENT_S,
        )
        engine.full_pace = full_pace
        await case.add_engine(engine)
    for zone in zones:
        await case.add_gateway(f"edge-{zone}-1", zone)
    await case.wait_until_ready()
    await asyncio.sleep(1.0)
    gateway = case.gateways[0]
    channels = [await Channel.open(gateway.front) for _ in range(CHANNELS)]
    # The gateway has seen the pace of the engines before it is stopped.
    now_s = time.monotonic()
    await asyncio.gather(*(ask_at(case, c, now_s, now_s) for c in channels))
    term_s = time.monotonic()
    if case.has_trouble:
        gateway.send_signal(signal.SIGTERM)
        case.note(f"SIGTERM to {gateway.name}")
    results = await asyncio.gather(
        *(
            ask_at(case, channel, term_s + FIRST_S + STEP_S * number, term_s)
            for number, channel in enumerate(channels)
        )
    )
    arrived = {x.attempt_id for engine in case.engines for x in engine.arrivals}
    lost = [
        attempt_id
        for attempt_id, sent_s, answer in results
        if attempt_id in arrived
        and sent_s > term_s + EXCUSED_S
        and not answer.is_complete
    ]
    for engine in case.engines:
        for x in engine.arrivals:
            case.record(f"{engine.name} ran {x.attempt_id}: {x.end}")
    case.note(f"{len(lost)} requests were passed on and ended without their answer")
    return not lost


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
