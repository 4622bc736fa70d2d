"""Columns of numbers in pages: one value for each number of a table of names.

It owns how values lie in memory. Two revisions share all pages that did not change between them. It must
never change a page that an earlier revision holds.
"""

from __future__ import annotations

from array import array
from typing import Generic, TypeVar

PAGE_BITS = 8
PAGE_SIZE = 1 << PAGE_BITS
PAGE_MASK = PAGE_SIZE - 1

Value = TypeVar("Value", int, float)


class ColumnEditor(Generic[Value]):
    """The next state of a column: `pages` of the earlier one, and a page that stands for no values yet."""

    def __init__(self, pages: tuple[array[Value], ...], empty_page: array[Value]) -> None:
        self._pages: list[array[Value]] = list(pages)
        self._empty_page: array[Value] = empty_page
        self._copied_pages: set[int] = set()  # pages that are not shared with an earlier column

    def get(self, number: int) -> Value:
        """Raises IndexError beyond the last page."""
        return self._pages[number >> PAGE_BITS][number & PAGE_MASK]

    def set(self, number: int, value: Value) -> None:
        page = number >> PAGE_BITS
        while page >= len(self._pages):
            self._pages.append(self._empty_page)
        if page not in self._copied_pages:
            self._copied_pages.add(page)
            self._pages[page] = self._pages[page][:]
        self._pages[page][number & PAGE_MASK] = value

    def build(self) -> tuple[array[Value], ...]:
        """The pages; the editor is of no use after it."""
        return tuple(self._pages)
