"""Status messages in datagrams of a bounded size."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

import msgspec

from crocusshunt.fleet._messages import StatusMessage, StatusPart, encode

# One Ethernet frame carries 1,472 bytes besides the headers of IPv4 and UDP.
MAX_DATAGRAM_BYTES = 1_400
# A status takes no more datagrams than this, however much there is to tell.
MAX_PARTS_COUNT = 4
# Space for what encloses the items of a field.
_FIELD_BYTES = 5


@dataclass(frozen=True, slots=True)
class _Item:
    """One entry of a field that may be told apart from the others."""

    field: str
    key: str
    content: Any
    size: int


@dataclass(frozen=True, slots=True)
class _Field:
    """A field whose entries may be told in several datagrams.

    :param max_bytes: of its items in one status; others follow in turn.
    """

    name: str
    max_bytes: int
    list_items: Callable[[Any], Iterable[tuple[str, Any]]]
    join_items: Callable[[Sequence[_Item]], Any]


def _list_pairs(entries: Mapping[str, Any]) -> Iterable[tuple[str, Any]]:
    return entries.items()


def _list_names(entries: Iterable[Any]) -> Iterable[tuple[str, Any]]:
    return (('', one) for one in entries)


def _join_pairs(found: Sequence[_Item]) -> dict[str, Any]:
    return {one.key: one.content for one in found}


def _join_list(found: Sequence[_Item]) -> list[Any]:
    return [one.content for one in found]


# What a status has of news, which grows with what happened.
_NEWS_BYTES = 800
_STATE_BYTES = MAX_PARTS_COUNT * MAX_DATAGRAM_BYTES
# The most urgent first: what keeps requests from servers, then what divides
# rates and load.
_FIELDS = (
    _Field('crashes', _NEWS_BYTES, _list_names, _join_list),
    _Field('draining', _NEWS_BYTES, _list_pairs, _join_pairs),
    _Field('limits', _NEWS_BYTES, _list_pairs, _join_pairs),
    _Field('busy', _STATE_BYTES, _list_pairs, _join_pairs),
    _Field('demand', _STATE_BYTES, _list_pairs, _join_pairs),
    _Field('full', _NEWS_BYTES, _list_pairs, _join_pairs),
)
_FIELDS_BY_NAME = {one.name: one for one in _FIELDS}


@dataclass(slots=True)
class _Space:
    """What is left of the datagrams of a status."""

    left_bytes: list[int]
    items: list[list[_Item]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.items = [[] for _part in self.left_bytes]

    def put(self, item: _Item) -> bool:
        """Put an item where it fits first; return whether it fits."""
        for number, left in enumerate(self.left_bytes):
            if item.size <= left:
                self.left_bytes[number] -= item.size
                self.items[number].append(item)
                return True
        return False


def split_status(
    message: StatusMessage,
) -> tuple[StatusMessage | StatusPart, ...]:
    """Return the messages that tell a status, each in one datagram.

    One that fits is returned as it is. Of others the first message has all
    but what does not fit, which follows in parts. News that do not fit in
    their space are told in turn.

    >>> from crocusshunt.fleet import Heartbeat
    >>> demand = {f'c{number:03}': number + 0.5 for number in range(100)}
    >>> parts = split_status(Heartbeat('h1', 1, 7, True, demand=demand))
    >>> [len(encode(one)) <= MAX_DATAGRAM_BYTES for one in parts]
    [True, True]
    >>> sum(len(one.demand) for one in parts)
    100
    """
    if len(encode(message)) <= MAX_DATAGRAM_BYTES:
        return (message,)
    names = [one.name for one in _FIELDS if hasattr(message, one.name)]
    emptied = {name: _FIELDS_BY_NAME[name].join_items(()) for name in names}
    head = msgspec.structs.replace(message, **emptied, parts=MAX_PARTS_COUNT)
    other = StatusPart(message.name, message.started_at, message.sequence)
    others = (other for _number in range(1, MAX_PARTS_COUNT))
    space = _Space([_measure_space(one) for one in (head, *others)])
    for name in names:
        _put_items(space, message, name)
    told = [one for one in space.items[1:] if one]
    head = msgspec.structs.replace(head, parts=1 + len(told))
    return (
        msgspec.structs.replace(head, **_join(space.items[0])),
        *(msgspec.structs.replace(other, **_join(one)) for one in told),
    )


def _measure_space(message: StatusMessage | StatusPart) -> int:
    """Return what is left for items beside a message, in bytes."""
    reserved = _FIELD_BYTES * len(_FIELDS)
    return MAX_DATAGRAM_BYTES - reserved - len(encode(message))


def _put_items(space: _Space, message: StatusMessage, name: str) -> None:
    """Put the items of a field that are told this time."""
    told = _FIELDS_BY_NAME[name]
    listed = told.list_items(getattr(message, name))
    items = [_create_item(name, key, content) for key, content in listed]
    left_bytes = max(0, sum(space.left_bytes))
    max_bytes = min(told.max_bytes, left_bytes)
    chosen = _choose_in_turn(items, max_bytes, message.sequence)
    for item in chosen:
        space.put(item)


def _choose_in_turn(
    items: Sequence[_Item], max_bytes: int, turn: int
) -> Sequence[_Item]:
    """Return the items that are told in a turn.

    Where there is no space for all, half of it goes to the first ones each
    time, and the other half to the rest in turn.

    :param max_bytes: of all that are returned.
    """
    if _measure(items) <= max_bytes:
        return items
    first = _cut(items, max_bytes // 2)
    rest = items[len(first) :]
    left_bytes = max_bytes - _measure(first)
    # So many of the rest fit in a turn, or one less.
    step = max(1, len(rest) * left_bytes // _measure(rest) - 1)
    start = turn * step % len(rest)
    rotated = (*rest[start:], *rest[:start])
    return (*first, *_cut(rotated, left_bytes))


def _measure(items: Iterable[_Item]) -> int:
    return sum(one.size for one in items)


def _cut(items: Sequence[_Item], max_bytes: int) -> Sequence[_Item]:
    """Return the first items, as many as fit."""
    sizes = accumulate(one.size for one in items)
    count = sum(size <= max_bytes for size in sizes)
    return items[:count]


def _create_item(name: str, key: str, content: Any) -> _Item:
    size = len(msgspec.msgpack.encode(content))
    if key:
        size += len(msgspec.msgpack.encode(key))
    return _Item(name, key, content, size)


def _join(items: Sequence[_Item]) -> dict[str, Any]:
    return {
        one.name: one.join_items([item for item in items if item.field == name])
        for name, one in _FIELDS_BY_NAME.items()
        if any(item.field == name for item in items)
    }
