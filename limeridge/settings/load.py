"""Reading settings: a file in protobuf text format into its message, or one clear line naming file, place and
fault.

It owns the way from a file to a checked message and the places of its fields. It must never give a value
through that a check refused, and never know what a message is for.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from functools import cache
from pathlib import Path
from typing import Any, TypeVar

from google.protobuf import text_format
from google.protobuf.message import Message

M = TypeVar("M", bound=Message)


class Unusable(Exception):
    """`file:line:column: field: what was expected`, in one line."""


@cache
def grammar() -> Any:
    """The parser of the text format that keeps the place of each field."""
    from lark import Lark

    return Lark((Path(__file__).parent / "text.lark").read_text(), parser="lalr", propagate_positions=True)


def places(text: str) -> dict[str, tuple[int, int]]:
    """Line and column of each field by its path, as in `fault[1].kind`; the first of a repeated one also
    without its number."""
    found: dict[str, tuple[int, int]] = {}
    counts: dict[str, int] = {}

    def walk(tree: Any, path: str) -> None:
        for field in tree.children:
            if getattr(field, "data", "") != "field":
                continue
            name, inner = field.children[0], field.children[1] if len(field.children) > 1 else None
            full = f"{path}.{name}" if path else str(name)
            values = inner.children if inner is not None and inner.data == "list" else [inner]
            for value in values:
                number = counts.get(full, 0)
                counts[full] = number + 1
                place = (
                    (name.line, name.column)
                    if len(values) == 1 or value is None
                    else (value.meta.line, value.meta.column)
                )
                found.setdefault(full, place)
                found[f"{full}[{number}]"] = place
                if value is not None and value.data == "message":
                    walk(value, f"{full}[{number}]")
                    if number == 0:
                        walk(value, full)

    walk(grammar().parse(text), "")
    return found


class Checked:
    """What a check is given: it says which field is at fault and what was expected."""

    def __init__(self, file: str, text: str) -> None:
        self.file, self.text = file, text

    def refuse(self, path: str, expected: str) -> Unusable:
        """The error to be raised for the field at `path`, with its line and column."""
        line, column = self._place(path)
        return Unusable(f"{self.file}:{line}:{column}: {path}: {expected}")

    def _place(self, path: str) -> tuple[int, int]:
        """Of the field, or of the closest one round it that stands in the file."""
        from lark.exceptions import LarkError

        try:
            found = places(self.text)
        except LarkError:  # protobuf takes some forms that the grammar does not know
            return 1, 1
        while path and path not in found:
            path = path.rpartition(".")[0]
        return found.get(path, (1, 1))

    def number(self, path: str, value: float, least: float, most: float, what: str = "a number") -> None:
        """Raises Unusable unless `value` is finite and within both bounds."""
        if not (math.isfinite(value) and least <= value <= most):
            raise self.refuse(path, f"expected {what} from {least:g} to {most:g}, got {value:g}")


def load(path: str, message: M, check: Callable[[M, Checked], None] | None = None) -> M:
    """Reads `path` into `message` and checks it.

    Raises Unusable: unreadable, not UTF-8, not of the message's form, or refused by `check`.
    """
    try:
        text = Path(path).read_bytes().decode()
    except OSError as trouble:
        raise Unusable(f"{path}:1:1: expected a file that can be read, got {trouble.strerror}") from None
    except UnicodeDecodeError as trouble:
        raise Unusable(
            f"{path}:1:1: expected UTF-8, got byte {trouble.object[trouble.start]} at {trouble.start}"
        ) from None
    return parse(path, text, message, check)


def parse(file: str, text: str, message: M, check: Callable[[M, Checked], None] | None = None) -> M:
    """Reads `text` into `message` and returns it. Raises Unusable, with file, line and column, where it is
    no such text or `check` refuses it."""
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as trouble:
        line, column = trouble.GetLine() or 1, trouble.GetColumn() or 1
        what = " ".join(str(trouble).split())
        what = what.partition(" : ")[2] or what
        raise Unusable(f"{file}:{line}:{column}: {what}") from None
    if check is not None:
        check(message, Checked(file, text))
    return message


def below(folder: Path, ending: str = ".txtpb") -> Iterator[Path]:
    """The files in a folder that end so, in the order of their names."""
    return iter(sorted(folder.glob(f"*{ending}")))
