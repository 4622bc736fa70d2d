"""The outside's names for settings and ours, in one table for the simulator's host and the real instance.

It owns how settings become the brain's one plain map of names to values. It must never check, default or
decide: `config.py` refuses what is wrong, the brain gives what is absent its most careful reading.
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


def value_of(text: str) -> bool | int | float | str:
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            pass
    return text


def name_of(path: str) -> str:
    parts = path.split(".")
    plain: list[str] = []
    named: list[str] = []
    for part in parts:
        if part.isdecimal():
            named.append(part)
            continue
        plain.append(part)
        named.append(SEGMENTS.get(".".join(plain), part))
    return ".".join(named)


def settings_of(pairs: Iterable[tuple[str, str]]) -> dict[str, Value]:
    settings: dict[str, Value] = {}
    for path, text in pairs:
        name = name_of(path)
        last = name.rpartition(".")[2]
        if last in LISTS:
            settings[name] = [value_of(item) for item in text.split(",")]
        else:
            settings[name] = VALUES.get(last, {}).get(text) or value_of(text)
    return settings


def pairs_of(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested settings, flattened to the path and text pairs of the simulator's first message."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from pairs_of(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for number, inner in enumerate(value):
            yield from pairs_of(inner, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(text_of(item) for item in value)
    elif value is not None:
        yield path, text_of(value)


def text_of(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")
