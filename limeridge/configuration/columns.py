"""Copy-on-write columns of numeric values, one value for each number of a name table.

Values are stored in pages. Two revisions share all pages that did not change between them; a page of an
earlier revision is never modified.
"""

from __future__ import annotations

from array import array
from typing import Generic, TypeVar

PAGE_BITS = 8
PAGE_SIZE = 1 << PAGE_BITS
PAGE_MASK = PAGE_SIZE - 1

Value = TypeVar("Value", int, float)


class ColumnEditor(Generic[Value]):
    """Builds a modified copy of a column from its `pages`; new pages start as a copy of `empty_page`."""

    def __init__(self, pages: tuple[array[Value], ...], empty_page: array[Value]) -> None:
        self._pages: list[array[Value]] = list(pages)
        self._empty_page: array[Value] = empty_page
        self._copied_pages: set[int] = set()  # pages that are not shared with an earlier column

    def get(self, number: int) -> Value:
        """Returns the value of a number. Raises IndexError beyond the last page."""
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
        """Returns the new pages; the editor must not be used afterwards."""
        return tuple(self._pages)
