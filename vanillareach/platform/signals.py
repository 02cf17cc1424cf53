"""What an endpoint says about itself in the headers of any answer."""

import re

from vanillareach.clock import MS_PER_SECOND
from vanillareach.gateway.ports import EndpointSignals
from vanillareach.platform import names

LEAVING_VALUE = b"1"
QUIET_STATUS = 503
MISDIRECTED_STATUS = 421
# A longer time is taken for a mistake.
MAX_RETRY_AFTER_S = 3_600.0
DECIMAL_PATTERN = re.compile(rb"\d{1,9}(\.\d{0,9})?|\.\d{1,9}")


def read_signals(status, headers):
    """Return the `EndpointSignals` in an answer's status and headers.

    An answer to a misdirected request is another endpoint's, which isn't known here.

    Parameters
    ----------
    status : int
    headers : list of (bytes, bytes)
    """
    if is_misdirected(status, headers):
        return EndpointSignals()
    is_leaving, retry_after, limit_per_s, cold_ms = False, None, None, None
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == names.SERVER_LEAVING:
            is_leaving |= value.strip() == LEAVING_VALUE
        elif lower_name == names.SERVER_LIMIT and limit_per_s is None:
            limit_per_s = _parse_decimal(value.strip())
        elif lower_name == names.COLD_MS and cold_ms is None:
            cold_ms = _parse_decimal(value.strip())
        elif lower_name == names.RETRY_AFTER and retry_after is None:
            retry_after = value.strip()
    if status != QUIET_STATUS or retry_after is None:
        return EndpointSignals(is_leaving, limit_per_s=limit_per_s, cold_ms=cold_ms)
    quiet_ms = _parse_seconds(retry_after)
    if quiet_ms is None:
        ignored = retry_after.decode("latin-1")
        return EndpointSignals(is_leaving, 0.0, ignored, limit_per_s, cold_ms)
    return EndpointSignals(
        is_leaving, quiet_ms, limit_per_s=limit_per_s, cold_ms=cold_ms
    )


def is_misdirected(status, headers):
    """Return whether a request reached another process than the one addressed.

    Only the one addressed signs its answer.
    """
    return status == MISDIRECTED_STATUS and not any(
        name.lower() in (names.FAULTY_SERVER, names.SIGNATURE) for name, _ in headers
    )


def _parse_seconds(value):
    """Return a number of seconds in ms; None for a date or any other value."""
    seconds = _parse_decimal(value)
    if seconds is None or seconds > MAX_RETRY_AFTER_S:
        return None
    return MS_PER_SECOND * seconds


def _parse_decimal(value):
    """Return a decimal number without a sign; None for any other value."""
    return float(value) if DECIMAL_PATTERN.fullmatch(value) else None
