"""Sample names, paths and tables of a given size for measurements, deterministic for a given seed."""

from __future__ import annotations

import gc
import random
import sys
from types import FunctionType, ModuleType

from limeridge.configuration.routes import RouteTable, RouteTableBuilder
from limeridge.configuration.tables import (
    DIGEST_MASK,
    ClassLimits,
    Tables,
    limits_digest,
    route_digest,
    tenant_digest,
)
from limeridge.configuration.tenants import TenantTable, TenantTableBuilder

TENANTS = 240_000
ROUTES = 69_000
CLASSES = tuple(f"class-{number}" for number in range(40))
KINDS = ("shop", "account", "org", "team", "customer")
WORDS = ("orders", "items", "users", "reports", "search", "carts", "invoices", "events", "files", "jobs")


def tenant_names(count: int, seed: int = 1) -> list[str]:
    """Returns distinct names of 12 to 20 characters in random order."""
    rng = random.Random(seed)
    names = [f"{rng.choice(KINDS)}-{number:07d}{'x' * rng.randrange(5)}" for number in range(count)]
    rng.shuffle(names)
    return names


def route_prefixes(count: int, seed: int = 1) -> list[str]:
    """Returns distinct prefixes of two to five elements, some of which cover others."""
    rng = random.Random(seed)
    prefixes: dict[str, None] = {}
    while len(prefixes) < count:
        elements = [f"service-{rng.randrange(max(1, count // 40))}", f"v{rng.randrange(4)}"]
        elements += [f"{rng.choice(WORDS)}-{rng.randrange(30)}" for _ in range(rng.randrange(4))]
        prefixes["/" + "/".join(elements)] = None
    return list(prefixes)


def tenant_table(names: list[str]) -> TenantTable:
    builder = TenantTableBuilder()
    for number, name in enumerate(names):
        builder.add(name, float(number % 50))
    return builder.build()


def route_table(prefixes: list[str]) -> RouteTable:
    builder = RouteTableBuilder()
    for number, prefix in enumerate(prefixes):
        builder.add(prefix, number % len(CLASSES))
    return builder.build()


def sample_tables(tenants: int = TENANTS, routes: int = ROUTES) -> Tables:
    names, prefixes = tenant_names(tenants), route_prefixes(routes)
    limits = ClassLimits(CLASSES, (0.01,) * len(CLASSES))
    digest = limits_digest(limits)
    digest += sum(tenant_digest(name, float(number % 50)) for number, name in enumerate(names))
    digest += sum(
        route_digest(prefix, CLASSES[number % len(CLASSES)]) for number, prefix in enumerate(prefixes)
    )
    return Tables(tenant_table(names), route_table(prefixes), limits, digest & DIGEST_MASK)


def size_of(*roots: object) -> int:
    """Returns the bytes of all objects reachable from `roots`, counted once, without classes and modules."""
    seen: set[int] = set()
    pending = list(roots)
    size = 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, type | ModuleType | FunctionType):
            continue
        seen.add(id(item))
        size += sys.getsizeof(item)
        pending.extend(gc.get_referents(item))
        if isinstance(item, dict):
            pending.extend(item)  # gc.get_referents omits keys that are strings
    return size
