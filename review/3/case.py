"""A stream that crashes each engine after its first event is never refused."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.case import Case, run_case  # noqa: E402
from common.configs import MODEL_HOST, model_config, stream_headers  # noqa: E402
from common.engine import Engine  # noqa: E402

STABLE_WINDOW_S = 3.0
MAX_RETRIES = 3
CRASHES_BEFORE = 3
DOWN_S = 2.0
ROUNDS = 14
PAUSE_S = 1.5
# Other requesters, each with one stream at a time.
OTHERS = 4
PATH = "/overview/season-3"
PROMPT = b"the prompt that no engine survives"


class Crashes:
    """Crashes the engines that begin to run the prompt.

    Parameters
    ----------
    case : Case
    """

    def __init__(self, case):
        self._case = case
        self.times_s = []

    def watch(self, engine):
        """Let an engine crash once it has sent the first event for the prompt."""

        def on_event(request, count):
            if request.body == PROMPT and count == 1 and self._case.has_trouble:
                self.times_s.append(time.monotonic())
                self._case.note(f"{engine.name} crashes, {len(self.times_s)} so far")
                engine.crash(DOWN_S)

        engine.on_event = on_event


async def send_others(case, ended):
    """Send other requesters' prompts, one after another; count how they end."""
    number = 0
    while True:
        number += 1
        gateway = case.gateways[number % len(case.gateways)]
        attempt_id, answer = await case.ask(
            gateway,
            MODEL_HOST,
            "/overview/other",
            body=b"a sound prompt",
            extra=stream_headers("c3", f"{attempt_number(case):x}"),
        )
        is_complete = answer is not None and answer.is_complete
        ended[is_complete] += 1
        case.record(f"other {attempt_id}: complete: {is_complete}")


def attempt_number(case):
    """Return a number that no other prompt has."""
    return int(case.new_id(), 16)


async def play(case: Case):
    """Send the same prompt again and again, as its requester does."""
    case.store.put("config", "main", model_config())
    crashes = Crashes(case)
    for number in range(6):
        engine = Engine(
            case.store,
            f"i-{number}",
            "model-pool",
            "zone-" + "abc"[number % 3],
            events=8,
            event_s=0.1,
        )
        crashes.watch(engine)
        await case.add_engine(engine)
    for zone in ("zone-a", "zone-b"):
        await case.add_gateway(f"edge-{zone}-1", zone)
    await case.wait_until_ready()
    await asyncio.sleep(1.0)
    ended = Counter()
    others = [asyncio.ensure_future(send_others(case, ended)) for _ in range(OTHERS)]
    for number in range(ROUNDS):
        gateway = case.gateways[number % len(case.gateways)]
        attempt_id, answer = await case.ask(
            gateway, MODEL_HOST, PATH, body=PROMPT, extra=stream_headers("a1", "b7")
        )
        status = answer.status if answer else None
        is_complete = answer.is_complete if answer else False
        body = answer.body[:60] if answer and status != 200 else b""
        case.note(f"{attempt_id}: status {status}, complete: {is_complete} {body!r}")
        await asyncio.sleep(PAUSE_S)
    for task in others:
        task.cancel()
    # Not judged: what the crashes do to the prompts of others.
    case.note(f"others' streams: {ended[True]} complete, {ended[False]} cut or failed")
    retries = []
    if len(crashes.times_s) >= CRASHES_BEFORE:
        from_s = crashes.times_s[CRASHES_BEFORE - 1] + STABLE_WINDOW_S
        retries = [
            arrival
            for engine in case.engines
            for arrival in engine.arrivals
            if arrival.at_s > from_s and arrival.request.body == PROMPT
        ]
    case.note(
        f"{len(crashes.times_s)} crashes; {len(retries)} retries reached engines later"
        f" than {STABLE_WINDOW_S} s after the third"
    )
    return len(retries) <= MAX_RETRIES


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
