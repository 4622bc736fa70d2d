"""Compares memory layouts for tenants and routes: bytes per entry, time of a look-up and of a change.

    python -m limeridge.configuration.compare                 # a table in Markdown
    python -m limeridge.configuration.compare --json --sizes 1000 10000

This module has the layouts that were considered and rejected. A change creates a new table and leaves the old
one unchanged, as in the tables in use. Times are CPU times of one thread, the best of three runs.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from array import array
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, Protocol

from limeridge.configuration.names import NameTable, NameTableEditor
from limeridge.configuration.routes import RouteTableEditor
from limeridge.configuration.samples import (
    CLASSES,
    route_prefixes,
    route_table,
    size_of,
    tenant_names,
    tenant_table,
)
from limeridge.configuration.tenants import TenantTableEditor

SIZES = (1_000, 10_000, 100_000, 1_000_000)
ROUTE_SIZES = (1_000, 10_000, 69_000)
LOOK_UPS = 20_000
CHANGES = 20
REPEATS = 3


class Layout(Protocol):
    """A layout to compare; `Any` is its own type of table."""

    name: str

    def build(self, entries: list[str]) -> Any: ...
    def find(self, table: Any) -> Callable[[str], int | None]: ...
    def change(self, table: Any, entry: str) -> Any: ...


@dataclass(slots=True, frozen=True)
class Row:
    """One measurement: CPU time of `look_up`, `miss` and `change` in microseconds, of `build` in seconds."""

    what: str
    way: str
    entries: int
    bytes_per_entry: float
    look_up: float
    miss: float
    change: float
    build: float


class TenantDict:
    """A plain dict from name to number, a list of names and a list of quotas."""

    name = "plain dict"

    def build(self, entries: list[str]) -> Any:
        numbers = {name: number for number, name in enumerate(entries)}
        return numbers, list(entries), [float(number % 50) + 0.5 for number in range(len(entries))]

    def find(self, table: Any) -> Callable[[str], int | None]:
        numbers: dict[str, int] = table[0]
        return numbers.get

    def change(self, table: Any, entry: str) -> Any:
        numbers, names, quotas = dict(table[0]), list(table[1]), list(table[2])
        numbers[entry] = len(names)
        names.append(entry)
        quotas.append(1.0)
        return numbers, names, quotas


class SortedTenantNames:
    """Sorted byte strings with binary search, an array of numbers and an array of quotas."""

    name = "sorted byte strings"

    def build(self, entries: list[str]) -> Any:
        ordered = sorted((name.encode(), number) for number, name in enumerate(entries))
        numbers = array("I", (number for _, number in ordered))
        return (
            [name for name, _ in ordered],
            numbers,
            array("d", (float(n % 50) for n in range(len(ordered)))),
        )

    def find(self, table: Any) -> Callable[[str], int | None]:
        names, numbers, _ = table

        def find(name: str) -> int | None:
            encoded = name.encode()
            index = bisect_left(names, encoded)
            return numbers[index] if index < len(names) and names[index] == encoded else None

        return find

    def change(self, table: Any, entry: str) -> Any:
        names, numbers, quotas = list(table[0]), table[1][:], table[2][:]
        encoded = entry.encode()
        index = bisect_left(names, encoded)
        names.insert(index, encoded)
        numbers.insert(index, len(quotas))
        quotas.append(1.0)
        return names, numbers, quotas


class TenantPages:
    """The TenantTable in use: pages and a sharded open-addressing index."""

    name = "pages with a hash index (taken)"

    def build(self, entries: list[str]) -> Any:
        return tenant_table(entries)

    def find(self, table: Any) -> Callable[[str], int | None]:
        return table.find  # type: ignore[no-any-return]

    def change(self, table: Any, entry: str) -> Any:
        editor = TenantTableEditor(table, now=1)
        editor.put(entry, 1.0)
        return editor.build()


class RouteDict:
    """A plain dict from prefix to class; a look-up removes trailing elements until a prefix is found."""

    name = "plain dict"

    def build(self, entries: list[str]) -> Any:
        return {prefix: number % len(CLASSES) for number, prefix in enumerate(entries)}

    def find(self, table: Any) -> Callable[[str], int | None]:
        def find(path: str) -> int | None:
            while path:
                number: int | None = table.get(path)
                if number is not None:
                    return number
                path = path[: path.rfind("/")]
            return None

        return find

    def change(self, table: Any, entry: str) -> Any:
        return {**table, entry: 1}


class RouteRadixTree:
    """A radix tree over elements: each node is a dict of children, with its class under the empty key."""

    name = "radix tree of elements"

    def build(self, entries: list[str]) -> Any:
        root: dict[str, Any] = {}
        for number, prefix in enumerate(entries):
            node = root
            for element in prefix.split("/")[1:]:
                node = node.setdefault(element, {})
            node[""] = number % len(CLASSES)
        return root

    def find(self, table: Any) -> Callable[[str], int | None]:
        def find(path: str) -> int | None:
            node, longest = table, None
            for element in path.split("/")[1:]:
                node = node.get(element)
                if node is None:
                    break
                longest = node.get("", longest)
            return longest

        return find

    def change(self, table: Any, entry: str) -> Any:
        elements = entry.split("/")[1:]
        root = node = dict(table)
        for element in elements:
            node[element] = dict(node.get(element, {}))
            node = node[element]
        node[""] = 1
        return root


class SortedPrefixes:
    """Sorted prefixes with binary search: the longest match precedes the path, or covers its predecessor."""

    name = "sorted prefixes"

    def build(self, entries: list[str]) -> Any:
        ordered = sorted((prefix + "/", number % len(CLASSES)) for number, prefix in enumerate(entries))
        return [prefix for prefix, _ in ordered], array("H", (number for _, number in ordered))

    def find(self, table: Any) -> Callable[[str], int | None]:
        prefixes, classes = table

        def find(path: str) -> int | None:
            path += "/"
            index = bisect_right(prefixes, path)
            while index:
                before = prefixes[index - 1]
                if path.startswith(before):
                    return classes[index - 1]  # type: ignore[no-any-return]
                path = path[
                    : path.rfind("/", 0, _common_prefix_length(before, path)) + 1
                ]  # no longer prefix can match
                if not path:
                    break
                index = bisect_right(prefixes, path, 0, index)
            return None

        return find

    def change(self, table: Any, entry: str) -> Any:
        prefixes, classes = list(table[0]), table[1][:]
        insort(prefixes, entry + "/")
        classes.insert(bisect_left(prefixes, entry + "/"), 1)
        return prefixes, classes


class HashIndexedRoutes:
    """The index of tenant names; a look-up removes trailing elements until a prefix is found."""

    name = "pages with a hash index"

    def build(self, entries: list[str]) -> Any:
        editor = NameTableEditor(NameTable.empty())
        classes = array("H")
        for number, prefix in enumerate(entries):
            editor.add(prefix)
            classes.append(number % len(CLASSES))
        return editor.build(), classes

    def find(self, table: Any) -> Callable[[str], int | None]:
        prefixes, classes = table

        def find(path: str) -> int | None:
            while path:
                number = prefixes.find(path)
                if number is not None:
                    return classes[number]  # type: ignore[no-any-return]
                path = path[: path.rfind("/")]
            return None

        return find

    def change(self, table: Any, entry: str) -> Any:
        editor, classes = NameTableEditor(table[0]), table[1][:]
        editor.add(entry)
        classes.append(1)
        return editor.build(), classes


class RouteShards:
    """The RouteTable in use: dicts sharded by bits of the hash, of which a change copies one."""

    name = "64 dicts (taken)"

    def build(self, entries: list[str]) -> Any:
        return route_table(entries)

    def find(self, table: Any) -> Callable[[str], int | None]:
        return table.find  # type: ignore[no-any-return]

    def change(self, table: Any, entry: str) -> Any:
        editor = RouteTableEditor(table)
        editor.put(entry, 1)
        return editor.build()


TENANT_LAYOUTS: tuple[Layout, ...] = (TenantDict(), SortedTenantNames(), TenantPages())
ROUTE_LAYOUTS: tuple[Layout, ...] = (
    RouteDict(),
    RouteRadixTree(),
    SortedPrefixes(),
    HashIndexedRoutes(),
    RouteShards(),
)


def _common_prefix_length(one: str, other: str) -> int:
    """Returns the length of the common prefix of two strings."""
    length = 0
    for left, right in zip(one, other, strict=False):
        if left != right:
            break
        length += 1
    return length


def best_seconds(work: Callable[[], object]) -> float:
    """Returns the CPU seconds of this thread, the best of REPEATS runs."""
    durations = []
    for _ in range(REPEATS):
        started_at = time.thread_time()
        work()
        durations.append(time.thread_time() - started_at)
    return min(durations)


def look_up_microseconds(find: Callable[[str], int | None], queries: list[str]) -> float:
    """Returns microseconds per look-up.

    The queries are new string objects, as those of requests are, so their hashes are not cached yet.
    """

    def run(fresh_queries: list[str]) -> None:
        for text in fresh_queries:
            find(text)

    durations = []
    for _ in range(REPEATS):
        fresh_queries = [text.encode().decode() for text in queries]
        started_at = time.thread_time()
        run(fresh_queries)
        durations.append(time.thread_time() - started_at)
    return 1e6 * min(durations) / len(queries)


def measure_layout(
    what: str, layout: Layout, entries: list[str], present: list[str], missing: list[str]
) -> Row:
    started_at = time.thread_time()
    table = layout.build([entry.encode().decode() for entry in entries])
    build_seconds = time.thread_time() - started_at
    find = layout.find(table)
    changes = [f"{entries[0]}-{number}" for number in range(CHANGES)]
    change = best_seconds(lambda: [layout.change(table, each) for each in changes]) / CHANGES
    return Row(
        what=what,
        way=layout.name,
        entries=len(entries),
        bytes_per_entry=round(size_of(table) / len(entries), 1),
        look_up=round(look_up_microseconds(find, present), 2),
        miss=round(look_up_microseconds(find, missing), 2),
        change=round(1e6 * change, 1),
        build=round(build_seconds, 3),
    )


def tenant_rows(size: int) -> list[Row]:
    rng = random.Random(2)
    names = tenant_names(size)
    present = rng.choices(names, k=LOOK_UPS)
    missing = [f"nobody-{number:07d}" for number in range(LOOK_UPS)]
    return [measure_layout("tenants", layout, names, present, missing) for layout in TENANT_LAYOUTS]


def route_rows(size: int) -> list[Row]:
    rng = random.Random(2)
    prefixes = route_prefixes(size)
    present = [f"{prefix}/{rng.randrange(10_000)}" for prefix in rng.choices(prefixes, k=LOOK_UPS)]
    missing = [f"/nothing-{number}/v1/is/here" for number in range(LOOK_UPS)]
    return [measure_layout("routes", layout, prefixes, present, missing) for layout in ROUTE_LAYOUTS]


def as_markdown(rows: list[Row]) -> str:
    lines = [
        "| what | way | entries | bytes an entry | look-up, us | miss, us | change, us | build, s |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.what} | {row.way} | {row.entries:,} | {row.bytes_per_entry:g} | {row.look_up:g} "
            f"| {row.miss:g} | {row.change:,g} | {row.build:g} |"
        )
    return "\n".join(lines)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m limeridge.configuration.compare")
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="numbers of tenants to measure")
    parser.add_argument("--route-sizes", type=int, nargs="+", default=ROUTE_SIZES)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = [row for size in options.sizes for row in tenant_rows(size)]
    rows += [row for size in options.route_sizes for row in route_rows(size)]
    print(json.dumps([asdict(row) for row in rows]) if options.json else as_markdown(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
