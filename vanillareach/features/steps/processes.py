"""Steps for scenarios over the real processes that ``bench/fleet.sh`` starts."""

import contextlib
import os
import signal
import threading
import time
from pathlib import Path

import httpcore
import msgspec
import openai
from behave import given, then, when

from bench.layout import (
    LAYOUTS_BY_NAME,
    TOKENS_BY_TEAM,
    commands,
    entry_address,
    service_endpoints,
)
from bench.stage import (
    apply_samples,
    call,
    is_in_force_on,
    is_ready,
    register_layout,
    team_headers,
    wait_until,
)
from vanillareach.core.streams import DONE_EVENT

LAYOUT = LAYOUTS_BY_NAME["nine"]
ADDRESSES = [entry_address(index) for index in range(LAYOUT.entries)]
ENTRY_STATUS_FOLDER = Path("build/entries")
MODEL = "juror"
CLIENT_COUNT = 4
SCORES_PATH = "/services/registration/scores"
_is_prepared = []


def command_index(index):
    """Return the index of an entry's command among the commands of the fleet."""
    words = f"--name entry-{index} "
    return next(n for n, line in enumerate(commands(LAYOUT)) if words in line)


def pid_of_entry(index):
    """Return the current process id of an entry, or None while it is restarted."""
    text = (ENTRY_STATUS_FOLDER / str(command_index(index))).read_text().strip()
    return int(text) if text else None


def send_signal(index, number):
    """Send a signal to one entry and return the process id it had."""
    pid = pid_of_entry(index)
    os.kill(pid, number)
    return pid


def wait_until_restarted(index, old_pid):
    """Wait until an entry has been restarted under a new process id and is ready."""
    wait_until(
        lambda: pid_of_entry(index) not in (None, old_pid),
        f"entry {index} started again",
    )
    wait_until(lambda: is_ready(ADDRESSES[index]), f"entry {index} ready")


def completion_body(tokens, prompt="Check this marking note."):
    """Return the request body of a streamed completion."""
    return {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}


@given("the fleet of processes with the sample configuration")
def step_fleet(context):
    if not _is_prepared:
        register_layout(LAYOUT)
        for address in ADDRESSES:
            wait_until(lambda address=address: is_ready(address), f"{address} ready")
        apply_samples(ADDRESSES[0], ["metselvak"])
        _is_prepared.append(True)
    wait_until(
        lambda: is_in_force_on(ADDRESSES[0], "team.utrecht", LAYOUT.entries),
        "the sample team in force on all entries",
    )


@then('"{key}" is in force on all nine entries')
def step_in_force(context, key):
    for address in ADDRESSES:
        wait_until(
            lambda address=address: is_in_force_on(address, key, LAYOUT.entries),
            f"{key} in force on all entries according to {address}",
        )


def client_library(index):
    """Return an OpenAI client that calls one entry."""
    return openai.OpenAI(
        base_url=f"http://{ADDRESSES[index]}/v1",
        api_key=TOKENS_BY_TEAM["utrecht"],
        max_retries=0,
    )


@when("the client library requests completions and chats, streamed and unstreamed")
def step_use_client_library(context):
    library = client_library(3)
    messages = [{"role": "user", "content": "Is this joint within tolerance?"}]
    common_arguments = {"model": MODEL, "max_tokens": 8}
    context.streamed_completion = list(
        library.completions.create(prompt="note", stream=True, **common_arguments)
    )
    context.streamed_chat_events = list(
        library.chat.completions.create(
            messages=messages,
            stream=True,
            stream_options={"include_usage": True},
            **common_arguments,
        )
    )
    context.completion = library.completions.create(prompt="note", **common_arguments)
    context.chat = library.chat.completions.create(
        messages=messages, **common_arguments
    )
    context.models = [model.id for model in library.models.list()]


@then("it receives complete responses with usage and the list of models")
def step_client_responses(context):
    streamed = "".join(event.choices[0].text for event in context.streamed_completion)
    assert streamed == context.completion.choices[0].text
    assert context.completion.usage.completion_tokens == 8
    parts = [
        event.choices[0].delta.content for event in context.streamed_chat_events[:-1]
    ]
    assert "".join(parts) == context.chat.choices[0].message.content
    assert context.streamed_chat_events[-1].usage.completion_tokens == 8
    assert context.models == [MODEL]


@then("its errors carry the reason of a refusal")
def step_client_errors(context):
    try:
        client_library(3).completions.create(model="none", prompt="x")
    except openai.NotFoundError as error:
        assert error.code == "not_found", error.code
        assert error.response.headers["x-outcome"] == "not_run"
    else:
        raise AssertionError("an unknown model was not refused")


def stop_in_stream(context, index, is_repeated):
    """Send SIGTERM at the first event of a stream, or at every event."""
    received = []
    headers = [(n.encode(), v.encode()) for n, v in team_headers("utrecht")]
    with httpcore.stream(
        "POST",
        f"http://{ADDRESSES[index]}/v1/completions",
        headers=headers,
        content=msgspec.json.encode(completion_body(300)),
    ) as response:
        context.old_pid = None
        for chunk in response.iter_stream():
            received.append(chunk)
            if context.old_pid is None:
                context.old_pid = send_signal(index, signal.SIGTERM)
            elif is_repeated:
                os.kill(context.old_pid, signal.SIGTERM)
    context.received = b"".join(received)


@when("entry {index:d} receives SIGTERM in the middle of a stream")
def step_stop_in_stream(context, index):
    stop_in_stream(context, index, is_repeated=False)


@when("entry {index:d} receives SIGTERM at every event of a stream")
def step_stop_repeatedly_in_stream(context, index):
    stop_in_stream(context, index, is_repeated=True)


@then("the stream is complete")
def step_stream_complete(context):
    assert context.received.endswith(DONE_EVENT), context.received[-300:]
    assert context.received.count(b"\n\n") == 301


@then("entry {index:d} exits with code 0 and is restarted")
def step_exited_and_restarted(context, index):
    wait_until_restarted(index, context.old_pid)
    code = (ENTRY_STATUS_FOLDER / f"{command_index(index)}.exit").read_text().strip()
    assert code == "0", code


def send_keyed_call(index, key):
    """Send one keyed call through one entry."""
    headers = team_headers("utrecht", ("idempotency-key", key))
    return call("POST", ADDRESSES[index], SCORES_PATH, {"score": 9}, headers)


def runs_of(key):
    """Return how often an idempotency key ran, summed over all service instances."""
    return sum(
        call("GET", spec.address, "/runs").json().get(key, 0)
        for spec in service_endpoints(LAYOUT)
    )


@when("one key is sent through entries {one:d} and {two:d} one after the other")
def step_send_through_two_entries(context, one, two):
    context.key = "score-two-entries"
    context.responses = [
        send_keyed_call(one, context.key),
        send_keyed_call(two, context.key),
    ]


@then("both responses are equal and the key ran once")
def step_equal_responses(context):
    first, second = context.responses
    assert first.status == second.status == 201, (first.body, second.body)
    assert first.body == second.body
    assert runs_of(context.key) == 1


def set_service_delay(delay_ms):
    """Set the time in ms that all plain services take for a call."""
    for spec in service_endpoints(LAYOUT):
        call("POST", spec.address, "/behaviour", {"delay_ms": delay_ms})


@when("entry {index:d} is killed in the middle of a keyed call that takes a second")
def step_kill_in_call(context, index):
    context.key = "score-killed-entry"
    set_service_delay(1000)

    def send():
        with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
            send_keyed_call(index, context.key)

    sender = threading.Thread(target=send)
    sender.start()
    wait_until(lambda: runs_of(context.key) > 0, "the call runs")
    old_pid = send_signal(index, signal.SIGKILL)
    sender.join()
    set_service_delay(0)
    wait_until_restarted(index, old_pid)


@when("the key is sent through entry {index:d} until it is settled")
def step_send_until_settled(context, index):
    def is_settled():
        answer = send_keyed_call(index, context.key)
        return answer.status == 201 or answer.json()["reason"] != "still_running"

    wait_until(is_settled, "the key is settled")


@then("the key ran at most once")
def step_at_most_once(context):
    assert runs_of(context.key) <= 1


class LoadBalancer:
    """Sends requests to ready entries in turn, as the platform's load balancer does.

    Attributes
    ----------
    sent_count : int
        Number of requests that received a response.
    failures : list of tuple
        Address of the entry and what went wrong, for each failed request.
    """

    def __init__(self):
        self._ready_addresses = list(ADDRESSES)
        self._next_index = 0
        self._stopping = threading.Event()
        self._threads = [threading.Thread(target=self._poll_readiness)]
        self._threads += [
            threading.Thread(target=self._send_requests) for _ in range(CLIENT_COUNT)
        ]
        self.sent_count = 0
        self.failures = []
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop sending requests and polling readiness."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _poll_readiness(self):
        while not self._stopping.is_set():
            ready = []
            for address in ADDRESSES:
                with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    if is_ready(address):
                        ready.append(address)
            self._ready_addresses = ready
            time.sleep(0.1)

    def _send_requests(self):
        while not self._stopping.is_set():
            self._next_index += 1
            address = self._ready_addresses[
                self._next_index % len(self._ready_addresses)
            ]
            try:
                reply = call(
                    "POST",
                    address,
                    "/v1/completions",
                    completion_body(10),
                    team_headers("utrecht"),
                )
                self.sent_count += 1
                if reply.status != 200 or not reply.body.endswith(DONE_EVENT):
                    self.failures.append((address, reply.status, reply.body[-200:]))
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                self.failures.append((address, repr(error)))


@when("every entry is restarted in turn while requests keep arriving")
def step_restart_all(context):
    context.load_balancer = LoadBalancer()
    try:
        for index in range(LAYOUT.entries):
            old_pid = send_signal(index, signal.SIGTERM)
            wait_until_restarted(index, old_pid)
    finally:
        context.load_balancer.stop()


@then("no request was interrupted or refused")
def step_no_request_interrupted(context):
    assert not context.load_balancer.failures, context.load_balancer.failures[:5]
    assert context.load_balancer.sent_count > LAYOUT.entries
