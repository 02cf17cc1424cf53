"""Helpers shared by the steps of several features."""

from vanillareach.standins.engine_model import EngineRequest

IDEMPOTENCY_KEY = "key-1"
SCORES_PATH = "/services/desk/scores"


def first_entry(context):
    """Return the first entry of the stage."""
    return next(iter(context.stage.entries_by_name.values()))


def engine_apps(context):
    """Return all engine stand-ins."""
    return [
        app for app in context.stage.apps_by_address.values() if hasattr(app, "engine")
    ]


def service_apps(context):
    """Return all service stand-ins."""
    return [
        app
        for app in context.stage.apps_by_address.values()
        if hasattr(app, "runs_by_key")
    ]


def prompt_of(tokens):
    """Return a prompt of `tokens` tokens at four characters each."""
    return ("brick wall " * (tokens * 4 // 11 + 1))[: tokens * 4]


def expected_text(prompt, tokens):
    """Return the text that an engine generates for a prompt."""
    request = EngineRequest("expected", prompt.encode(), tokens)
    for _ in range(tokens):
        request.generate()
    return "".join(request.words)


def runs_of(context, key=IDEMPOTENCY_KEY):
    """Return how often an idempotency key ran, summed over all services."""
    return sum(app.runs_by_key.get(key, 0) for app in service_apps(context))


def stream(context, document, path="/v1/completions", **headers):
    """Make one call of the first entry and store its response in ``context.answer``.

    The response is streamed unless `document` sets ``stream`` to false.
    """
    entry = first_entry(context)
    document = {"model": "model", "stream": True, **document}
    context.answer = context.run(
        lambda: entry.team_call("POST", path, document, **headers)
    )


def send_keyed(context, document=None, entry=None, **headers):
    """Send one keyed call through an entry, by default the first one."""
    entry = entry or first_entry(context)
    document = document or {"score": 1}
    return context.run(
        lambda: entry.team_call(
            "POST", SCORES_PATH, document, idempotency_key=IDEMPOTENCY_KEY, **headers
        )
    )


def endpoints(context):
    """Return all stand-in endpoints on the users' platform."""
    return context.platform.endpoints_by_name.values()


def received(context):
    """Return all requests received by stand-in endpoints on the users' platform."""
    return [request for endpoint in endpoints(context) for request in endpoint.received]
