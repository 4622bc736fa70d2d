"""Reads one JSON document a step at a time, so that no step takes long however many entries it holds.

It owns the way through the outermost objects of a document and the lists in them; every member and item is
decoded by the standard library's scanner. It must never check what the values mean, and hold no more of the
text than the value that is being read.

A step is what a generator does between two yields; what it yields is the work done since the last one; 1 is
an entry of a list decoded, checked and put into a table: about 10 microseconds. Whoever drives the generator
decides how much goes into one turn of the event loop.
"""

from __future__ import annotations

import codecs
import json
import os
import re
import stat
from collections.abc import Callable, Generator, Iterable, Iterator, Mapping
from json.decoder import JSONDecodeError
from typing import Any, TypeVar

Result = TypeVar("Result")
Steps = Generator[int, None, Result]

TURN_WORK = 100  # that goes into one turn of the event loop
PIECE = 65_536  # bytes read from a file at once
PIECE_WORK = 10  # to read and decode one
ITEMS_PER_STEP = 5
VALUE_MOST = 262_144  # characters of one value, which is decoded in one step
DEPTH = 1  # objects nested so deep are gone through member by member; what lies deeper is one value

NUMBER_GOES_ON = ("", *"0123456789.eE+-")
WHITE_SPACE = re.compile(r"[ \t\n\r]*")


class BadDocument(Exception):
    """Not a JSON document; the text says what was met, and on which line."""


class ChangedMeanwhile(Exception):
    """The file was written to while it was read."""


def file_pieces(path: str) -> Iterator[bytes]:
    """A file's content piece by piece. Raises OSError, and ChangedMeanwhile at the end of the file."""
    with open(path, "rb", buffering=0) as file:
        before = _state(file.fileno())
        while piece := file.read(PIECE):
            yield piece
        if _state(file.fileno()) != before:
            raise ChangedMeanwhile


def _state(descriptor: int) -> tuple[int, int] | None:
    """What changes when somebody writes to a file; None for what is no file, as a pipe."""
    found = os.fstat(descriptor)
    return (found.st_mtime_ns, found.st_size) if stat.S_ISREG(found.st_mode) else None


def run_turn(steps: Steps[Result]) -> Result | None:
    """Goes on by one turn's share of work; None where more is left."""
    work = 0
    try:
        while work < TURN_WORK:
            work += next(steps)
    except StopIteration as end:
        result: Result = end.value
        return result
    return None


def run_through(steps: Steps[Result]) -> Result:
    """All steps in one go."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result


class Document:
    """One JSON document out of pieces of UTF-8.

    `takers` makes, by the path of a list, what takes the items of that list one at a time, anew each time
    that the list begins; the list itself is empty in what is read then.
    """

    def __init__(
        self, pieces: Iterable[bytes], takers: Mapping[str, Callable[[], Callable[[Any], None]]]
    ) -> None:
        self._pieces = iter(pieces)
        self._takers = takers
        self._decode = codecs.getincrementaldecoder("utf-8")().decode
        self._scanner = json.JSONDecoder(parse_constant=_no_number)
        self._text = ""
        self._at = 0
        self._ended = False
        self._lines = 1  # that begin before the text at hand

    def read(self) -> Steps[Any]:
        """The document's value. Raises BadDocument, and what the pieces raise."""
        found = yield from self._value("", 0)
        if (yield from self._peek()):
            raise self._fault("Extra data", self._at)
        return found

    def _value(self, path: str, depth: int) -> Steps[Any]:
        mark = yield from self._peek()
        if mark == "{" and depth <= DEPTH:
            return (yield from self._object(path, depth))
        if mark == "[" and 0 < depth <= DEPTH + 1:
            return (yield from self._list(path))
        return (yield from self._whole())

    def _object(self, path: str, depth: int) -> Steps[dict[str, Any]]:
        members: dict[str, Any] = {}
        self._at += 1
        if (yield from self._peek()) == "}":
            self._at += 1
            return members
        while True:
            if (yield from self._peek()) != '"':
                raise self._fault("Expecting property name enclosed in double quotes", self._at)
            name = yield from self._whole()
            yield from self._expect(":")
            members[name] = yield from self._value(f"{path}.{name}" if path else name, depth + 1)
            if (yield from self._expect(",", "}")) == "}":
                return members

    def _list(self, path: str) -> Steps[list[Any]]:
        items: list[Any] = []
        take = self._takers[path]() if path in self._takers else items.append
        self._at += 1
        if (yield from self._peek()) == "]":
            self._at += 1
            return items
        number = 0
        while True:
            item, mark = self._item_at_hand() or (yield from self._item())
            take(item)
            number += 1
            if number % ITEMS_PER_STEP == 0:
                yield ITEMS_PER_STEP
            if mark == "]":
                return items

    def _item_at_hand(self) -> tuple[Any, str] | None:
        """The next item and the mark behind it, where the text at hand has both and nothing is wrong."""
        try:
            found, end = self._scanner.raw_decode(self._text, self._skipped(self._at))
        except (ValueError, RecursionError):
            return None
        at = self._skipped(end)
        mark = self._text[at : at + 1]
        if mark not in (",", "]"):
            return None
        self._at = at + 1
        return found, mark

    def _item(self) -> Steps[tuple[Any, str]]:
        """The same, reading on where need be. Raises BadDocument."""
        yield from self._peek()
        found = yield from self._whole()
        return found, (yield from self._expect(",", "]"))

    def _skipped(self, at: int) -> int:
        """Where the next character stands that is no white space."""
        found = WHITE_SPACE.match(self._text, at)
        return at if found is None else found.end()

    def _whole(self) -> Steps[Any]:
        """The value that begins here, decoded at once. A number may be cut: `1` or `1.` at the end of the
        text may go on as `1.5`."""
        while True:
            try:
                found, end = self._scanner.raw_decode(self._text, self._at)
            except JSONDecodeError as trouble:
                if self._ended:
                    raise self._fault(trouble.msg, trouble.pos) from None
            except (ValueError, RecursionError) as trouble:  # no such number, nested too deep
                raise self._fault(str(trouble), self._at) from None
            else:
                if self._ended or self._text[end : end + 1] not in NUMBER_GOES_ON:
                    self._at = end
                    return found
            if len(self._text) - self._at > VALUE_MOST:
                raise self._fault(f"No value that ends within {VALUE_MOST} characters", self._at)
            yield from self._read_on()

    def _peek(self) -> Steps[str]:
        """The next character that is no white space; empty at the end."""
        while True:
            self._at = self._skipped(self._at)
            if self._at < len(self._text):
                return self._text[self._at]
            if self._ended:
                return ""
            yield from self._read_on()

    def _expect(self, *marks: str) -> Steps[str]:
        mark = yield from self._peek()
        if mark not in marks:
            raise self._fault(f"Expecting {' or '.join(map(repr, marks))}", self._at)
        self._at += 1
        return mark

    def _read_on(self) -> Steps[None]:
        piece = next(self._pieces, b"")
        self._ended = not piece
        try:
            text = self._decode(piece, final=self._ended)
        except UnicodeDecodeError as trouble:
            raise self._fault(f"No UTF-8, {trouble.reason}", len(self._text)) from None
        self._lines += self._text.count("\n", 0, self._at)
        self._text = self._text[self._at :] + text
        self._at = 0
        yield 1 + PIECE_WORK * len(piece) // PIECE

    def _fault(self, what: str, at: int) -> BadDocument:
        return BadDocument(f"{what}: line {self._lines + self._text.count(chr(10), 0, at)}")


def _no_number(name: str) -> None:
    raise ValueError(f"{name} is no number")
