"""The table of routes: path prefixes, each with the number of a class, found by the longest that fits.

It owns what a prefix may look like and which one wins. A prefix fits a path by whole elements: `/a/b` fits
`/a/b` and `/a/b/c`, not `/a/bc`. It must never change a table once it is built.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from dataclasses import dataclass

from limeridge.configuration.columns import PAGE_BITS, PAGE_MASK, PAGE_SIZE, ColumnEditor
from limeridge.configuration.names import IndexFull, NameTable, NameTableEditor, NumberSet

PREFIX_MOST = 1_024  # characters
ELEMENTS_MOST = 32
CLASSES_MOST = 1_000
ROOT = "/"  # fits every path
ROUTES_PER_STEP = 100

NO_CLASS = 65_535
NO_CLASS_PAGE = array("H", [NO_CLASS]) * PAGE_SIZE


class RouteFault(Exception):
    """One entry that can't be taken: `entry` counts from 0 in the order of adding."""

    def __init__(self, entry: int, fault: str) -> None:
        super().__init__(f"routes.{entry}: {fault}")
        self.entry = entry
        self.fault = fault


class ShadowedRoute(RouteFault):
    """The entry's prefix stands in an earlier entry too, so that one of the two could never win."""


@dataclass(slots=True, frozen=True)
class Route:
    prefix: str
    class_number: int


class RouteTable:
    """The routes of one revision."""

    __slots__ = ("_classes", "_depths", "_prefixes")

    def __init__(self, prefixes: NameTable, classes: tuple[array[int], ...], depths: tuple[int, ...]) -> None:
        self._prefixes = prefixes
        self._classes = classes
        self._depths = depths  # by number of elements: how many prefixes have it; the last is not 0

    @staticmethod
    def empty() -> RouteTable:
        return RouteTable(NameTable.empty(), (), ())

    def __len__(self) -> int:
        return len(self._prefixes)

    def find(self, path: str) -> int | None:
        """The number of the class that the longest fitting prefix leads to, None where none fits."""
        number = self._number(path)
        return None if number is None else self._class_number(number)

    def route(self, path: str) -> Route | None:
        """The route that wins for a path."""
        number = self._number(path)
        return None if number is None else self._route(number)

    def get(self, prefix: str) -> int | None:
        """The class of just this prefix, None where it is not there."""
        number = self._prefixes.find(prefix)
        return None if number is None else self._class_number(number)

    def covering(self, prefix: str) -> Route | None:
        """The route that would win for the prefix if that were not there."""
        return None if prefix == ROOT else self.route(prefix[: prefix.rfind("/")] or ROOT)

    def routes(self) -> Iterator[Route]:
        """All routes, in the order of their numbers."""
        for number, prefix in self._prefixes.items():
            yield Route(prefix, self._class_number(number))

    def _route(self, number: int) -> Route:
        return Route(self._prefixes.name(number), self._class_number(number))

    def _class_number(self, number: int) -> int:
        return self._classes[number >> PAGE_BITS][number & PAGE_MASK]

    def _number(self, path: str) -> int | None:
        deepest = len(self._depths) - 1
        if deepest < 0 or not path.startswith(ROOT):
            return None
        elements = path.split("/", deepest + 1)  # one empty, the deepest prefix's, what is behind them
        if len(elements) > deepest + 1:
            path = path[: -len(elements[-1]) - 1]
        while path:
            number = self._prefixes.find(path)
            if number is not None:
                return number
            path = path[: path.rfind("/")]
        return self._prefixes.find(ROOT)


class RouteTableEditor:
    """The next table after `previous`, by single changes; all that is not named stays.

    After a fault the editor is of no use.
    """

    def __init__(self, previous: RouteTable | None = None) -> None:
        table = previous if previous is not None else RouteTable.empty()
        self._prefixes = NameTableEditor(table._prefixes)
        self._classes = ColumnEditor(table._classes, NO_CLASS_PAGE)
        self._depths = list(table._depths)

    def put(self, prefix: str, class_number: int, entry: int = 0) -> int:
        """Add a route or lead it elsewhere; gives its number. Raises RouteFault, which names the entry."""
        check_route(prefix, class_number, entry)
        number = self._prefixes.find(prefix)
        if number is None:
            number = self._new_number(prefix, entry)
        self._classes.set(number, class_number)
        return number

    def get(self, prefix: str) -> int | None:
        """The class of just this prefix, None where it is not there."""
        number = self._prefixes.find(prefix)
        return None if number is None else self._classes.get(number)

    def remove(self, prefix: str) -> bool:
        """False where the route is not there."""
        number = self._prefixes.find(prefix)
        if number is None:
            return False
        self._prefixes.drop(number)
        self._classes.set(number, NO_CLASS)
        self._depths[depth_of(prefix)] -= 1
        return True

    def build(self) -> RouteTable:
        """The table; the editor is of no use after it."""
        while self._depths and self._depths[-1] == 0:
            self._depths.pop()
        return RouteTable(self._prefixes.build(), self._classes.build(), tuple(self._depths))

    def _new_number(self, prefix: str, entry: int) -> int:
        try:
            number = self._prefixes.add(prefix)
        except IndexFull as full:
            raise RouteFault(entry, f"{full} routes") from None
        depth = depth_of(prefix)
        self._depths.extend([0] * (depth + 1 - len(self._depths)))
        self._depths[depth] += 1
        return number


class RouteTableBuilder:
    """The next table after `previous`, by its whole list: a route that is not added again is removed.

    Adding does its share of the work at once, some ten microseconds an entry; what is left is done by
    `build`, or in steps by `build_steps`, after which `table` is there.
    """

    def __init__(self, previous: RouteTable | None = None) -> None:
        self._previous = previous if previous is not None else RouteTable.empty()
        self._editor = RouteTableEditor(previous)
        self._added = NumberSet()
        self._adds = 0
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable:
        """What was built. Raises RuntimeError before the last step."""
        if self._table is None:
            raise RuntimeError("the table is not built yet")
        return self._table

    def add(self, prefix: str, class_number: int) -> None:
        """One entry. Raises RouteFault, which names the entry."""
        number = self._editor.put(prefix, class_number, self._adds)
        if not self._added.add(number):
            raise ShadowedRoute(self._adds, f"the prefix {prefix!r} stands twice")
        self._adds += 1

    def build(self) -> RouteTable:
        """All steps at once."""
        for _ in self.build_steps():
            pass
        return self.table

    def build_steps(self, routes_per_step: int = ROUTES_PER_STEP) -> Iterator[None]:
        """Remove what is not there any more, a step at a time."""
        before = self._previous._prefixes
        for first in range(0, before.used, routes_per_step):
            for number in range(first, min(before.used, first + routes_per_step)):
                if number not in self._added and (prefix := before.name(number)):
                    self._editor.remove(prefix)
            yield
        self._table = self._editor.build()


def depth_of(prefix: str) -> int:
    """Elements of a prefix; 0 of the root."""
    return 0 if prefix == ROOT else prefix.count("/")


def check_route(prefix: str, class_number: int, entry: int) -> None:
    """Raises RouteFault where prefix or class is out of bounds."""
    if (fault := prefix_fault(prefix)) is not None:
        raise RouteFault(entry, f"prefix: {fault}")
    if type(class_number) is not int or not 0 <= class_number < CLASSES_MOST:
        raise RouteFault(entry, f"class: expected a whole number from 0 to {CLASSES_MOST - 1}")


def prefix_fault(prefix: str) -> str | None:
    """What is wrong with a prefix, None where nothing is."""
    if not isinstance(prefix, str) or not 1 <= len(prefix) <= PREFIX_MOST:
        return f"expected a text of 1 to {PREFIX_MOST} characters"
    if prefix == ROOT:
        return None
    if not prefix.startswith("/") or prefix.endswith("/") or "//" in prefix:
        return f"expected / and elements with / between them, got {prefix!r}"
    if "?" in prefix or "#" in prefix:
        return f"expected a path without query and fragment, got {prefix!r}"
    if depth_of(prefix) > ELEMENTS_MOST:
        return f"expected at most {ELEMENTS_MOST} elements"
    return None
