"""Conversion of untyped input into data classes, with all its faults."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar, get_type_hints

import msgspec
from result import Err, Ok, Result

from crocusshunt.core._errors import Fault

_Structure = TypeVar('_Structure')
_MISSING = object()
_KIND_NAMES: Mapping[type[msgspec.inspect.Type], str] = {
    msgspec.inspect.IntType: 'a whole number',
    msgspec.inspect.FloatType: 'a number',
    msgspec.inspect.BoolType: 'true or false',
    msgspec.inspect.StrType: 'text',
    msgspec.inspect.VarTupleType: 'a list',
}


@dataclass(frozen=True, slots=True)
class InputSource:
    """Where input comes from and how strictly its types are taken.

    :param place: prefix of the places in faults.
    :param is_text: True where every value is text, as in an INI file; lists
        are then separated by commas.
    """

    place: str
    is_text: bool = False


def convert_fields(
    source: InputSource,
    values: Mapping[str, Any],
    structure: type[_Structure],
) -> Result[_Structure, tuple[Fault, ...]]:
    """Return a validated structure, or every fault of its fields.

    :param values: values by field name.
    :param structure: a data class or structure, whose annotations may carry
        constraints.

    >>> from crocusshunt.routing import Pool
    >>> faults = convert_fields(InputSource('pool'), {}, Pool).unwrap_err()
    >>> faults[0].problem
    'missing'
    """
    described = msgspec.inspect.type_info(structure)
    fields = {field.name: field for field in _fields_of(described)}
    if source.is_text:
        values = _split_lists(values, fields)
    faults = tuple(_find_faults(source, values, structure, fields))
    if faults:
        return Err(faults)
    return Ok(msgspec.convert(values, structure, strict=not source.is_text))


def _fields_of(described: msgspec.inspect.Type) -> tuple[Any, ...]:
    fields: tuple[Any, ...] = getattr(described, 'fields', ())
    return fields


def _find_faults(
    source: InputSource,
    values: Mapping[str, Any],
    structure: type,
    fields: Mapping[str, Any],
) -> Iterator[Fault]:
    hints = get_type_hints(structure, include_extras=True)
    for extra in sorted(set(values) - set(fields)):
        place = f'{source.place} {extra}'
        yield Fault(place, 'unknown key', ', '.join(sorted(fields)))
    for name, field in fields.items():
        place = f'{source.place} {name}'
        given = values.get(name, _MISSING)
        if given is _MISSING:
            problem = 'missing' if field.required else ''
        else:
            problem = _find_problem(source, given, hints[name])
        if problem:
            yield Fault(place, problem, _describe(field.type))


def _find_problem(source: InputSource, given: Any, hint: Any) -> str:
    try:
        msgspec.convert(given, hint, strict=not source.is_text)
    except msgspec.ValidationError as error:
        return f"value '{given}': {error}"
    return ''


def _split_lists(
    values: Mapping[str, Any],
    fields: Mapping[str, Any],
) -> Mapping[str, Any]:
    lists = {
        name
        for name, field in fields.items()
        if isinstance(field.type, msgspec.inspect.VarTupleType)
    }
    return {
        name: _split(text) if name in lists else text
        for name, text in values.items()
    }


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]


def _describe(kind: msgspec.inspect.Type) -> str:
    if isinstance(kind, msgspec.inspect.EnumType):
        return ', '.join(str(member.value) for member in kind.cls)
    name = _KIND_NAMES.get(type(kind), 'another type')
    bounds = [
        f'{sign} {getattr(kind, limit)}'
        for limit, sign in (
            ('ge', '>='),
            ('gt', '>'),
            ('le', '<='),
            ('pattern', 'matching'),
        )
        if getattr(kind, limit, None) is not None
    ]
    return ' '.join((name, *bounds))
