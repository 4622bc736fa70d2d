"""Translates the external names of settings to internal ones, for the simulator's host and the real instance.

This module turns settings into the flat map of names to values that the decision module takes. It must not
validate values, set defaults or decide: `config.py` rejects invalid settings, and the decision module gives
absent ones their safest reading.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

SEGMENTS = {
    "accounts": "customers",
    "accounts.share": "share",
    "accounts.quotaPerS": "quota_per_s",
    "ceilings": "limits",
    "ceilings.maxRetryAfter": "come_back_after",
    "ceilings.retryAfter": "advice",
    "classes": "products",
    "classes.aim": "sla_time",
    "classes.deadline": "expiry",
    "classes.idempotency": "kind",
    "classes.keyTtl": "window",
    "classes.lateWorth": "late_value",
    "classes.worth": "value",
    "classes.aimStretch": "sla_stretch",
    "clients.marksRetry": "marks_resent",
    "familyInfo": "instance",
    "familyInfo.callers": "callers",
    "familyInfo.callsOut": "calls_out",
    "familyInfo.callsOver": "calls_over",
    "familyInfo.classCalls": "product_calls",
    "familyInfo.classSkipWorth": "skip_values",
    "familyInfo.cpus": "cores",
    "familyInfo.fresh": "fresh",
    "familyInfo.fullChecks": "full_checks",
    "familyInfo.heeded": "heeded",
    "familyInfo.idle": "idle",
    "familyInfo.justStarted": "cold",
    "familyInfo.kbPerKey": "kb_per_key",
    "familyInfo.linger": "linger",
    "familyInfo.memoryKb": "memory_kb",
    "familyInfo.passesDeadline": "passes_expiry",
    "familyInfo.preemption": "preemption",
    "familyInfo.readiness": "readiness",
    "familyInfo.runFactor": "run_factor",
    "familyInfo.say": "say",
    "familyInfo.tellsGone": "tells_gone",
    "goal.worstWindow": "worst_window",
    "goal.worstClass": "worst_product",
    "goal.worstTenant": "worst_customer",
    "groupSize": "group_size",
    "guarantees": "rules",
    "guarantees.answerSlack": "answer_slack",
    "guarantees.coldFrom": "cold_from",
    "guarantees.rampTime": "ramp_time",
    "guarantees.drainGrace": "drain_grace",
    "guarantees.overloadFactor": "overload_factor",
    "guarantees.fall": "fall",
    "overShareWorth": "over_share_value",
    "prices.lateFail": "late_voided",
    "prices.origin": "calls",
    "valueBy": "value_by",
}
VALUES = {
    "kind": {"free": "inquiry-like", "guarded": "referenced", "single_shot": "once-only"},
    "value_by": {"request": "txn"},
}
GAUGES = {"cpu_busy": "busy", "runnable": "runnable", "mem_used": "memory", "sockets": "connections"}
LISTS = {"product_calls", "skip_values"}

Value = bool | int | float | str | list[bool | int | float | str]


def parse_value(text: str) -> bool | int | float | str:
    if text in ("true", "false"):
        return text == "true"
    for number_type in (int, float):
        try:
            return number_type(text)
        except ValueError:
            pass
    return text


def internal_name(path: str) -> str:
    """Translates a dotted path; list indexes in it are kept and do not take part in the lookup."""
    segments = path.split(".")
    external: list[str] = []
    internal: list[str] = []
    for segment in segments:
        if segment.isdecimal():
            internal.append(segment)
            continue
        external.append(segment)
        internal.append(SEGMENTS.get(".".join(external), segment))
    return ".".join(internal)


def parse_settings(pairs: Iterable[tuple[str, str]]) -> dict[str, Value]:
    settings: dict[str, Value] = {}
    for path, text in pairs:
        name = internal_name(path)
        last = name.rpartition(".")[2]
        if last in LISTS:
            settings[name] = [parse_value(item) for item in text.split(",")]
        else:
            settings[name] = VALUES.get(last, {}).get(text) or parse_value(text)
    return settings


def flatten_settings(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yields nested settings as the pairs of path and text that the simulator's first message holds."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten_settings(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for number, inner in enumerate(value):
            yield from flatten_settings(inner, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(format_value(item) for item in value)
    elif value is not None:
        yield path, format_value(value)


def format_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")
