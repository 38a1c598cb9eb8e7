"""Rows, answers and transactions as the platform's store sends them."""

import json
import logging
from base64 import b64decode, b64encode
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from crocusshunt.core import DECODE_ERRORS
from crocusshunt.feeds import (
    MAX_NUMBER,
    Changes,
    FeedError,
    FeedMalformedError,
    Row,
    RowWrite,
    join_version,
)
from crocusshunt.logs import log_event

_MAX_DIGITS = 20

_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _WireRow(msgspec.Struct, frozen=True):
    """A row as the store sends it.

    :param part: empty for all rows that are followed here; a feed has those of
        all parts of a table, told apart by part and key together.
    :param value: content of the row in base64.
    :param ver: version of the store, the number of its transactions, at the
        last change of the row.
    """

    key: str
    part: str = ''
    value: str = ''
    ver: _Number = 0
    deleted: bool = False


class _WireAnswer(msgspec.Struct, frozen=True):
    rows: tuple[_WireRow, ...] = ()
    ver: _Number = 0
    has_more: bool = False


class _RawAnswer(msgspec.Struct, frozen=True):
    rows: tuple[Any, ...] = ()
    ver: _Number = 0
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """Content of a successful answer, and the era of the store."""

    content: bytes
    era: int


@dataclass(frozen=True, slots=True)
class Page:
    """Rows of an answer, and the era in which their versions count."""

    answer: _WireAnswer
    era: int

    @property
    def version(self) -> int:
        """Return the newest version of the store, with its era."""
        return join_version(self.era, self.answer.ver)

    @property
    def last_key(self) -> str:
        """Return the key of the last row, empty without rows."""
        return self.answer.rows[-1].key if self.answer.rows else ''

    def decode_rows(self) -> tuple[Row, ...]:
        """Return the rows of this page that are in the empty part."""
        return tuple(
            _decode_row(row, self.era)
            for row in self.answer.rows
            if not row.part
        )

    def decode_changes(self) -> Changes:
        """Return the rows of this page as changes up to its version."""
        return Changes(self.decode_rows(), self.version)


class _WireWrite(msgspec.Struct, frozen=True):
    table: str
    key: str
    value: str
    part: str = ''


class _WireRemoval(msgspec.Struct, frozen=True):
    table: str
    key: str
    part: str = ''


class _WireTransaction(msgspec.Struct, frozen=True):
    expect: tuple[_WireWrite, ...] = ()
    writes: tuple[_WireWrite, ...] = ()
    remove: tuple[_WireRemoval, ...] = ()


def encode_writes(writes: Iterable[RowWrite]) -> bytes:
    """Encode one transaction that writes and removes rows."""
    changed = tuple(writes)
    transaction = _WireTransaction(
        writes=tuple(
            _WireWrite(one.table, one.key, b64encode(one.content).decode())
            for one in changed
            if one.content is not None
        ),
        remove=tuple(
            _WireRemoval(one.table, one.key)
            for one in changed
            if one.content is None
        ),
    )
    return msgspec.json.encode(transaction)


def decode_page(reply: Reply) -> Result[Page, FeedError]:
    """Decode a successful answer; an error tells what is wrong with it."""
    try:
        answer = msgspec.json.decode(reply.content, type=_WireAnswer)
    except DECODE_ERRORS:
        return _decode_readable_rows(reply)
    return Ok(Page(answer, reply.era))


def _decode_readable_rows(reply: Reply) -> Result[Page, FeedError]:
    """Decode an answer without the rows that can't be read."""
    text = reply.content.decode(errors='surrogateescape')
    try:
        found = msgspec.convert(
            json.loads(text, parse_int=_parse_integer), type=_RawAnswer
        )
    except DECODE_ERRORS as error:
        return Err(FeedMalformedError(str(error)))
    rows = tuple(
        row.ok_value
        for row in map(_convert_row, found.rows)
        if isinstance(row, Ok)
    )
    log_event(
        'unreadable rows passed over',
        logging.WARNING,
        rows=len(found.rows) - len(rows),
    )
    answer = _WireAnswer(rows, found.ver, found.has_more)
    return Ok(Page(answer, reply.era))


def _convert_row(row: Any) -> Result[_WireRow, FeedError]:
    try:
        converted = msgspec.convert(row, type=_WireRow)
        # A key that is no text can't be asked for, nor written to a log.
        converted.key.encode()
    except DECODE_ERRORS as error:
        return Err(FeedMalformedError(str(error)))
    return Ok(converted)


def _parse_integer(digits: str) -> int | None:
    """Return an integer, None if it has more digits than any version."""
    return int(digits) if len(digits) <= _MAX_DIGITS else None


def _decode_row(row: _WireRow, era: int) -> Row:
    """Decode a row; a value that is not base64 becomes empty content."""
    try:
        content = b64decode(row.value, validate=True)
    except ValueError:
        content = b''
    return Row(row.key, content, join_version(era, row.ver), row.deleted)
