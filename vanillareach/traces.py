"""Trace spans, written as JSON lines and propagated through ``traceparent``."""

import sys

import msgspec
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import NoOpTracerProvider, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

TRACEPARENT = "traceparent"
NS_PER_MS = 1_000_000
_propagator = TraceContextTextMapPropagator()


class SpanLine(msgspec.Struct):
    """One finished span as written to the trace file."""

    trace: str
    span: str
    parent: str | None
    name: str
    instance: str
    start_ms: float
    end_ms: float
    attributes: dict


class JsonLineExporter(SpanExporter):
    """Writes each span as one JSON line."""

    def __init__(self, stream, instance):
        self._stream = stream
        self._instance = instance

    def export(self, spans):
        """Write finished spans."""
        for span in spans:
            self._stream.write(msgspec.json.encode(self._line(span)).decode() + "\n")
        self._stream.flush()
        return SpanExportResult.SUCCESS

    def _line(self, span):
        return SpanLine(
            trace=f"{span.context.trace_id:032x}",
            span=f"{span.context.span_id:016x}",
            parent=f"{span.parent.span_id:016x}" if span.parent else None,
            name=span.name,
            instance=self._instance,
            start_ms=span.start_time / NS_PER_MS,
            end_ms=span.end_time / NS_PER_MS,
            attributes=dict(span.attributes or {}),
        )


class Traces:
    """Creates spans, which are no-ops without a trace file.

    Parameters
    ----------
    trace_file : str
        Path of the file, ``-`` for standard output, or empty for no spans.
    instance : str
        Name written into each span.
    """

    def __init__(self, trace_file, instance):
        self._stream = None
        if not trace_file:
            self._provider = NoOpTracerProvider()
        else:
            self._stream = (
                sys.stdout if trace_file == "-" else open(trace_file, "a")  # noqa: SIM115
            )
            self._provider = TracerProvider(resource=Resource.get_empty())
            exporter = JsonLineExporter(self._stream, instance)
            self._provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("vanillareach")

    def start_server_span(self, name, traceparent):
        """Start the span of a received request.

        It is a child of the caller's span if the caller sent a ``traceparent``.
        """
        carrier = {TRACEPARENT: traceparent} if traceparent else {}
        context = _propagator.extract(carrier)
        return self._tracer.start_span(name, context=context)

    def start_child_span(self, name, parent):
        """Start a child span of `parent`."""
        return self._tracer.start_span(name, context=set_span_in_context(parent))

    def header(self, span, received_traceparent):
        """Return the ``traceparent`` header to forward.

        Parameters
        ----------
        span : opentelemetry.trace.Span
            Span of the outgoing request.
        received_traceparent : str or None
            Header of the caller, forwarded unchanged when tracing is off.
        """
        carrier = {}
        _propagator.inject(carrier, context=set_span_in_context(span))
        return carrier.get(TRACEPARENT, received_traceparent)

    def close(self):
        """Close the trace file."""
        if self._stream not in (None, sys.stdout):
            self._stream.close()
