"""Steps that check rules of the source code and its documentation."""

import re
from pathlib import Path

import msgspec
from behave import then, when
from prometheus_client.parser import text_string_to_metric_families

from bench.capacity.render import CAPACITY_PAGE, read_figures, render_page
from vanillareach.features.support import first_entry
from vanillareach.gateway.settings import GATEWAY_SETTINGS
from vanillareach.platform import documents, names
from vanillareach.settings import (
    SETTINGS,
    Settings,
    SettingsError,
    settings_table,
)

# Field names that occur only in documents of the users' platform.
WIRE_FIELDS = {
    "traffic_split",
    "route_type",
    "gap_target_ms",
    "target_latency_ms",
    "session_affinity",
    "per_seq_ms",
    "pairs_per_m",
    "api_keys",
    "cold_remaining_ms",
    "max_header_bytes",
}
CORE = Path("vanillareach/core")


@then("no module of the core imports {names}")
def step_core_imports(context, names):
    words = re.split(r", | or ", names)
    pattern = re.compile(rf"^\s*(import|from) ({'|'.join(words)})\b", re.MULTILINE)
    found = [path for path in CORE.glob("*.py") if pattern.search(path.read_text())]
    assert len(list(CORE.glob("*.py"))) > 10
    assert not found, found


@then('no module outside "{folder}" contains a name of its wire format')
def step_wire_names(context, folder):
    headers = [
        value.decode()
        for value in vars(names).values()
        if isinstance(value, bytes) and value.startswith(b"vanillareach-")
    ]
    structs = [
        value
        for value in vars(documents).values()
        if isinstance(value, type) and issubclass(value, msgspec.Struct)
    ]
    fields = {
        field
        for struct in structs
        for field in struct.__struct_fields__
        if field in WIRE_FIELDS
    }
    assert len(headers) > 10
    assert fields == WIRE_FIELDS
    pattern = re.compile(rf"{'|'.join(headers)}|[\"'_]({'|'.join(fields)})\b", re.I)
    found = [
        str(path)
        for path in Path("vanillareach").rglob("*.py")
        if not path.is_relative_to(folder)
        and "features" not in path.parts
        and pattern.search(path.read_text())
    ]
    assert not found, found


@then('the tables in "{path}" match the settings in the code')
def step_settings_tables(context, path):
    text = Path(path).read_text()
    for marker, table in (("settings", SETTINGS), ("gateway", GATEWAY_SETTINGS)):
        written = text.split(f"<!-- {marker} -->\n")[1].split("<!-- end -->")[0]
        assert written == settings_table(table)


@then("the tables of the capacity page match those rendered from its figures")
def step_capacity_tables(context):
    text = CAPACITY_PAGE.read_text()
    assert render_page(text, read_figures()) == text


def build_settings_with(context, name, value):
    """Build settings with one value and store the error message."""
    context.error = ""
    try:
        Settings(**{name: value})
    except SettingsError as error:
        context.error = str(error)


@when('the setting "{name}" is set to "{value}"')
def step_set_text(context, name, value):
    build_settings_with(context, name, value)


@when('the setting "{name}" is set to ""')
def step_set_empty(context, name):
    build_settings_with(context, name, "")


@when('the setting "{name}" is set to the number {value:d}')
def step_set_number(context, name, value):
    build_settings_with(context, name, value)


@then('the error names "{flag}"')
def step_error_names_flag(context, flag):
    assert flag in context.error, context.error


@then('the metrics count {count:d} request of kind "{kind}" with outcome "{outcome}"')
def step_metrics_count(context, count, kind, outcome):
    entry = first_entry(context)
    answer = context.run(lambda: entry.call("GET", "/metrics"))
    for family in text_string_to_metric_families(answer.body.decode()):
        for sample in family.samples:
            if sample.name == "vanillareach_requests_total" and (
                sample.labels["kind"] == kind and sample.labels["outcome"] == outcome
            ):
                assert sample.value == count
                return
    raise AssertionError(answer.body.decode())
