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

WORK_PER_TURN = 100  # that goes into one turn of the event loop
CHUNK_BYTES = 65_536  # bytes read from a file at once
CHUNK_WORK = 10  # to read and decode one
ITEMS_PER_STEP = 5
MAX_VALUE_CHARACTERS = 262_144  # characters of one value, which is decoded in one step
MAX_STREAMED_DEPTH = 1  # objects nested so deep are read property by property; what lies deeper is one value

NUMBER_CONTINUATIONS = ("", *"0123456789.eE+-")
WHITE_SPACE = re.compile(r"[ \t\n\r]*")


class BadDocument(Exception):
    """Not a JSON document; the text says what was met, and on which line."""


class ChangedDuringRead(Exception):
    """The file was written to while it was read."""


def read_chunks(path: str) -> Iterator[bytes]:
    """A file's content piece by piece. Raises OSError, and ChangedDuringRead at the end of the file."""
    with open(path, "rb", buffering=0) as file:
        before = _file_version(file.fileno())
        while chunk := file.read(CHUNK_BYTES):
            yield chunk
        if _file_version(file.fileno()) != before:
            raise ChangedDuringRead


def _file_version(descriptor: int) -> tuple[int, int] | None:
    """What changes when somebody writes to a file; None for what is no file, as a pipe."""
    status = os.fstat(descriptor)
    return (status.st_mtime_ns, status.st_size) if stat.S_ISREG(status.st_mode) else None


def run_turn(steps: Steps[Result]) -> Result | None:
    """Goes on by one turn's share of work; None where more is left."""
    work = 0
    try:
        while work < WORK_PER_TURN:
            work += next(steps)
    except StopIteration as end:
        result: Result = end.value
        return result
    return None


def run_to_completion(steps: Steps[Result]) -> Result:
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
        self, chunks: Iterable[bytes], item_consumers: Mapping[str, Callable[[], Callable[[Any], None]]]
    ) -> None:
        self._chunks = iter(chunks)
        self._item_consumers = item_consumers
        self._decode = codecs.getincrementaldecoder("utf-8")().decode
        self._scanner = json.JSONDecoder(parse_constant=_reject_constant)
        self._text = ""
        self._position = 0
        self._at_end = False
        self._line_count = 1  # line number at the start of `_text`

    def read(self) -> Steps[Any]:
        """The document's value. Raises BadDocument, and what the pieces raise."""
        value = yield from self._read_value("", 0)
        if (yield from self._peek()):
            raise self._error("Extra data", self._position)
        return value

    def _read_value(self, path: str, depth: int) -> Steps[Any]:
        delimiter = yield from self._peek()
        if delimiter == "{" and depth <= MAX_STREAMED_DEPTH:
            return (yield from self._read_object(path, depth))
        if delimiter == "[" and 0 < depth <= MAX_STREAMED_DEPTH + 1:
            return (yield from self._read_list(path))
        return (yield from self._decode_value())

    def _read_object(self, path: str, depth: int) -> Steps[dict[str, Any]]:
        properties: dict[str, Any] = {}
        self._position += 1
        if (yield from self._peek()) == "}":
            self._position += 1
            return properties
        while True:
            if (yield from self._peek()) != '"':
                raise self._error("Expecting property name enclosed in double quotes", self._position)
            name = yield from self._decode_value()
            yield from self._expect(":")
            properties[name] = yield from self._read_value(f"{path}.{name}" if path else name, depth + 1)
            if (yield from self._expect(",", "}")) == "}":
                return properties

    def _read_list(self, path: str) -> Steps[list[Any]]:
        items: list[Any] = []
        consume = self._item_consumers[path]() if path in self._item_consumers else items.append
        self._position += 1
        if (yield from self._peek()) == "]":
            self._position += 1
            return items
        count = 0
        while True:
            item, delimiter = self._buffered_item() or (yield from self._read_item())
            consume(item)
            count += 1
            if count % ITEMS_PER_STEP == 0:
                yield ITEMS_PER_STEP
            if delimiter == "]":
                return items

    def _buffered_item(self) -> tuple[Any, str] | None:
        """The next item and the mark behind it, where the text at hand has both and nothing is wrong."""
        try:
            value, end = self._scanner.raw_decode(self._text, self._skip_white_space(self._position))
        except (ValueError, RecursionError):
            return None
        position = self._skip_white_space(end)
        delimiter = self._text[position : position + 1]
        if delimiter not in (",", "]"):
            return None
        self._position = position + 1
        return value, delimiter

    def _read_item(self) -> Steps[tuple[Any, str]]:
        """The same, reading on where need be. Raises BadDocument."""
        yield from self._peek()
        value = yield from self._decode_value()
        return value, (yield from self._expect(",", "]"))

    def _skip_white_space(self, position: int) -> int:
        """Where the next character stands that is no white space."""
        match = WHITE_SPACE.match(self._text, position)
        return position if match is None else match.end()

    def _decode_value(self) -> Steps[Any]:
        """The value that begins here, decoded at once. A number may be cut: `1` or `1.` at the end of the
        text may go on as `1.5`."""
        while True:
            try:
                value, end = self._scanner.raw_decode(self._text, self._position)
            except JSONDecodeError as error:
                if self._at_end:
                    raise self._error(error.msg, error.pos) from None
            except (ValueError, RecursionError) as error:  # no such number, nested too deep
                raise self._error(str(error), self._position) from None
            else:
                if self._at_end or self._text[end : end + 1] not in NUMBER_CONTINUATIONS:
                    self._position = end
                    return value
            if len(self._text) - self._position > MAX_VALUE_CHARACTERS:
                raise self._error(
                    f"No value that ends within {MAX_VALUE_CHARACTERS} characters", self._position
                )
            yield from self._read_more()

    def _peek(self) -> Steps[str]:
        """The next character that is no white space; empty at the end."""
        while True:
            self._position = self._skip_white_space(self._position)
            if self._position < len(self._text):
                return self._text[self._position]
            if self._at_end:
                return ""
            yield from self._read_more()

    def _expect(self, *delimiters: str) -> Steps[str]:
        delimiter = yield from self._peek()
        if delimiter not in delimiters:
            raise self._error(f"Expecting {' or '.join(map(repr, delimiters))}", self._position)
        self._position += 1
        return delimiter

    def _read_more(self) -> Steps[None]:
        chunk = next(self._chunks, b"")
        self._at_end = not chunk
        try:
            text = self._decode(chunk, final=self._at_end)
        except UnicodeDecodeError as error:
            raise self._error(f"No UTF-8, {error.reason}", len(self._text)) from None
        self._line_count += self._text.count("\n", 0, self._position)
        self._text = self._text[self._position :] + text
        self._position = 0
        yield 1 + CHUNK_WORK * len(chunk) // CHUNK_BYTES

    def _error(self, message: str, position: int) -> BadDocument:
        return BadDocument(f"{message}: line {self._line_count + self._text.count(chr(10), 0, position)}")


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is no number")
