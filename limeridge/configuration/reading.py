"""Incremental reader of one JSON document, in short steps regardless of the size of the document.

This module parses the outermost objects of a document and the lists in them; each property and list item is
decoded by the scanner of the standard library. It does not check what the values mean, and it buffers no more
of the text than the value that is being read.

A step is the work of a generator between two yields. The generator yields the amount of work done since the
last yield, in units of one list entry decoded, checked and added to a table: about 10 microseconds. The code
that drives the generator decides how much work is done in one turn of the event loop.
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

WORK_PER_TURN = 100  # units of work done in one turn of the event loop
CHUNK_BYTES = 65_536  # read from a file at once
CHUNK_WORK = 10  # units of work to read and decode one chunk
ITEMS_PER_STEP = 5
MAX_VALUE_CHARACTERS = 262_144  # of one value, because it is decoded in one step
MAX_STREAMED_DEPTH = 1  # objects up to this depth are read property by property, deeper ones at once

NUMBER_CONTINUATIONS = ("", *"0123456789.eE+-")
WHITE_SPACE = re.compile(r"[ \t\n\r]*")


class BadDocument(Exception):
    """The text is not a JSON document; the message has the error and its line."""


class ChangedDuringRead(Exception):
    """The file was modified while it was being read."""


def read_chunks(path: str) -> Iterator[bytes]:
    """Yields a file in chunks. Raises OSError, and ChangedDuringRead at the end of the file."""
    with open(path, "rb", buffering=0) as file:
        before = _file_version(file.fileno())
        while chunk := file.read(CHUNK_BYTES):
            yield chunk
        if _file_version(file.fileno()) != before:
            raise ChangedDuringRead


def _file_version(descriptor: int) -> tuple[int, int] | None:
    """Returns modification time and size, to detect writes; None for anything but a regular file."""
    status = os.fstat(descriptor)
    return (status.st_mtime_ns, status.st_size) if stat.S_ISREG(status.st_mode) else None


def run_turn(steps: Steps[Result]) -> Result | None:
    """Runs steps up to the work of one turn. Returns the result, or None if steps remain."""
    work = 0
    try:
        while work < WORK_PER_TURN:
            work += next(steps)
    except StopIteration as end:
        result: Result = end.value
        return result
    return None


def run_to_completion(steps: Steps[Result]) -> Result:
    """Runs all steps and returns the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result


class Document:
    """A JSON document that is read from chunks of UTF-8.

    `item_consumers` maps the path of a list to a factory, which is called each time such a list begins. The
    function it returns is called with each item, and the list itself is empty in the resulting value.
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
        self._first_line = 1  # line number of the start of `_text`

    def read(self) -> Steps[Any]:
        """Reads the value of the document. Raises BadDocument, and whatever the chunks raise."""
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
        """Returns the next item and the delimiter after it if both are in the buffer and valid, else None."""
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
        """Returns the next item and the delimiter after it, reading more if needed. Raises BadDocument."""
        yield from self._peek()
        value = yield from self._decode_value()
        return value, (yield from self._expect(",", "]"))

    def _skip_white_space(self, position: int) -> int:
        """Returns the position of the next character that is not white space."""
        match = WHITE_SPACE.match(self._text, position)
        return position if match is None else match.end()

    def _decode_value(self) -> Steps[Any]:
        """Decodes the value that begins here in one step.

        A number at the end of the buffer may be incomplete: `1` or `1.` may continue as `1.5`.
        """
        while True:
            try:
                value, end = self._scanner.raw_decode(self._text, self._position)
            except JSONDecodeError as error:
                if self._at_end:
                    raise self._error(error.msg, error.pos) from None
            except (ValueError, RecursionError) as error:  # invalid constant, or nested too deeply
                raise self._error(str(error), self._position) from None
            else:
                if self._at_end or self._text[end : end + 1] not in NUMBER_CONTINUATIONS:
                    self._position = end
                    return value
            if len(self._text) - self._position > MAX_VALUE_CHARACTERS:
                raise self._error(f"Value longer than {MAX_VALUE_CHARACTERS} characters", self._position)
            yield from self._read_more()

    def _peek(self) -> Steps[str]:
        """Returns the next character that is not white space, or an empty string at the end."""
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
            raise self._error(f"Invalid UTF-8, {error.reason}", len(self._text)) from None
        self._first_line += self._text.count("\n", 0, self._position)
        self._text = self._text[self._position :] + text
        self._position = 0
        yield 1 + CHUNK_WORK * len(chunk) // CHUNK_BYTES

    def _error(self, message: str, position: int) -> BadDocument:
        return BadDocument(f"{message}: line {self._first_line + self._text.count(chr(10), 0, position)}")


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")
