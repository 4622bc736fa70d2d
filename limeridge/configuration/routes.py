"""The table of routes: path prefixes that map to class numbers, with longest-prefix matching.

This module defines the syntax of a prefix and the matching. A prefix matches a path by whole elements: `/a/b`
matches `/a/b` and `/a/b/c`, but not `/a/bc`. A table is never modified once it is built.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

MAX_PREFIX_CHARACTERS = 1_024
MAX_PREFIX_ELEMENTS = 32
MAX_CLASSES = 1_000
ROOT = "/"  # matches every path
MAX_ROUTES = 1_000_000
SHARD_COUNT = 64
SHARD_MASK = SHARD_COUNT - 1


class RouteFault(Exception):
    """An invalid entry; `entry` is its index from 0 in the order of adding."""

    def __init__(self, entry: int, fault: str) -> None:
        super().__init__(f"routes.{entry}: {fault}")
        self.entry = entry
        self.fault = fault


class ShadowedRoute(RouteFault):
    """The entry has the same prefix as an earlier one, so one of the two could never match."""


@dataclass(slots=True, frozen=True)
class Route:
    prefix: str
    class_number: int


class RouteTable:
    """The routes of one revision: dicts from prefix to class number, sharded by bits of the prefix's hash.

    A lookup truncates the path to the depth of the deepest prefix, then removes trailing elements until a
    prefix is found.
    """

    __slots__ = ("_count", "_depths", "_shards")

    def __init__(self, shards: tuple[dict[str, int], ...], count: int, depths: tuple[int, ...]) -> None:
        self._shards = shards
        self._count = count
        self._depths = depths  # number of prefixes by their number of elements; the last item is not 0

    @staticmethod
    def empty() -> RouteTable:
        return RouteTable(({},) * SHARD_COUNT, 0, ())

    def __len__(self) -> int:
        return self._count

    def find(self, path: str) -> int | None:
        """Returns the class number of the longest matching prefix, or None if none matches."""
        deepest = len(self._depths) - 1
        if deepest < 0 or not path.startswith(ROOT):
            return None
        elements = path.split("/", deepest + 1)  # an empty one, up to `deepest` elements, the rest
        if len(elements) > deepest + 1:
            path = path[: -len(elements[-1]) - 1]
        shards = self._shards
        while path:
            class_number = shards[hash(path) & SHARD_MASK].get(path)
            if class_number is not None:
                return class_number
            path = path[: path.rfind("/")]
        return self.get(ROOT)

    def get(self, prefix: str) -> int | None:
        """Returns the class number of exactly this prefix, or None."""
        return self._shards[hash(prefix) & SHARD_MASK].get(prefix)

    def covering_route(self, prefix: str) -> Route | None:
        """Returns the next shorter route that covers the prefix, or None."""
        while prefix != ROOT:
            prefix = prefix[: prefix.rfind("/")] or ROOT
            class_number = self.get(prefix)
            if class_number is not None:
                return Route(prefix, class_number)
        return None

    def routes(self) -> Iterator[Route]:
        """Yields all routes; the order differs between processes."""
        for shard in self._shards:
            for prefix, class_number in shard.items():
                yield Route(prefix, class_number)


class RouteTableEditor:
    """Builds a modified copy of `previous` by single changes; all other routes stay as they are.

    The editor must not be used after a fault.
    """

    def __init__(self, previous: RouteTable | None = None) -> None:
        table = previous if previous is not None else RouteTable.empty()
        self._shards = list(table._shards)
        self._count = table._count
        self._depths = list(table._depths)
        self._copied_shards: set[int] = set()  # shards that are not shared with an earlier table

    def put(self, prefix: str, class_number: int, entry: int = 0) -> None:
        """Adds a route or changes its class. Raises RouteFault with the entry."""
        check_route(prefix, class_number, entry)
        shard = self._writable_shard(prefix)
        if prefix not in shard:
            self._count_prefix(prefix, entry)
        shard[prefix] = class_number

    def get(self, prefix: str) -> int | None:
        """Returns the class number of exactly this prefix, or None."""
        return self._shards[hash(prefix) & SHARD_MASK].get(prefix)

    def remove(self, prefix: str) -> bool:
        """Removes a route. Returns False if there is no such route."""
        if self.get(prefix) is None:
            return False
        del self._writable_shard(prefix)[prefix]
        self._count -= 1
        self._depths[prefix_depth(prefix)] -= 1
        return True

    def build(self) -> RouteTable:
        """Returns the new table; the editor must not be used afterwards."""
        while self._depths and self._depths[-1] == 0:
            self._depths.pop()
        return RouteTable(tuple(self._shards), self._count, tuple(self._depths))

    def _writable_shard(self, prefix: str) -> dict[str, int]:
        shard_index = hash(prefix) & SHARD_MASK
        if shard_index not in self._copied_shards:
            self._copied_shards.add(shard_index)
            self._shards[shard_index] = self._shards[shard_index].copy()
        return self._shards[shard_index]

    def _count_prefix(self, prefix: str, entry: int) -> None:
        if self._count == MAX_ROUTES:
            raise RouteFault(entry, f"expected at most {MAX_ROUTES} routes")
        depth = prefix_depth(prefix)
        self._depths.extend([0] * (depth + 1 - len(self._depths)))
        self._depths[depth] += 1
        self._count += 1


class RouteTableBuilder:
    """Builds a table from a complete list. Adding does all of the work, a few microseconds per entry."""

    def __init__(self) -> None:
        self._editor = RouteTableEditor()
        self._added_count = 0

    def add(self, prefix: str, class_number: int) -> None:
        """Adds one entry. Raises RouteFault with the entry."""
        check_route(prefix, class_number, self._added_count)
        if self._editor.get(prefix) is not None:
            raise ShadowedRoute(self._added_count, f"the prefix {prefix!r} stands twice")
        self._editor.put(prefix, class_number, self._added_count)
        self._added_count += 1

    def build(self) -> RouteTable:
        """Returns the table; the builder must not be used afterwards."""
        return self._editor.build()


def prefix_depth(prefix: str) -> int:
    """Returns the number of elements of a prefix; 0 for the root."""
    return 0 if prefix == ROOT else prefix.count("/")


def check_route(prefix: str, class_number: int, entry: int) -> None:
    """Raises RouteFault if the prefix or the class is out of bounds."""
    if (fault := prefix_fault(prefix)) is not None:
        raise RouteFault(entry, f"prefix: {fault}")
    if type(class_number) is not int or not 0 <= class_number < MAX_CLASSES:
        raise RouteFault(entry, f"class: expected a whole number from 0 to {MAX_CLASSES - 1}")


def prefix_fault(prefix: str) -> str | None:
    """Returns what is wrong with a prefix, or None if it is valid."""
    if not isinstance(prefix, str) or not 1 <= len(prefix) <= MAX_PREFIX_CHARACTERS:
        return f"expected a text of 1 to {MAX_PREFIX_CHARACTERS} characters"
    if prefix == ROOT:
        return None
    if not prefix.startswith("/") or prefix.endswith("/") or "//" in prefix:
        return f"expected / and elements with / between them, got {prefix!r}"
    if "?" in prefix or "#" in prefix:
        return f"expected a path without query and fragment, got {prefix!r}"
    if prefix_depth(prefix) > MAX_PREFIX_ELEMENTS:
        return f"expected at most {MAX_PREFIX_ELEMENTS} elements"
    return None
