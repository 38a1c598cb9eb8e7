"""Conversion of untyped input into data classes; reports every fault."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar, get_type_hints

import msgspec
from result import Err, Ok, Result

from crocusshunt.core._errors import Fault

_Structure = TypeVar('_Structure')
_MISSING = object()
_TYPE_NAMES: Mapping[type[msgspec.inspect.Type], str] = {
    msgspec.inspect.IntType: 'a whole number',
    msgspec.inspect.FloatType: 'a number',
    msgspec.inspect.BoolType: 'true or false',
    msgspec.inspect.StrType: 'text',
    msgspec.inspect.VarTupleType: 'a list',
}


@dataclass(frozen=True, slots=True)
class InputSource:
    """Origin of an input, and whether its values are all text.

    :param place: origin of the input, as faults show it before a key.
    :param is_text: whether every value is text, as in an INI file; numbers and
        booleans are then parsed from text, and lists are separated by commas.
    """

    place: str
    is_text: bool = False


def convert_fields(
    source: InputSource,
    values: Mapping[str, Any],
    structure: type[_Structure],
) -> Result[_Structure, tuple[Fault, ...]]:
    """Convert values to a data class, or return the faults of all fields.

    :param source: origin of the values.
    :param values: values by field name.
    :param structure: a data class or ``msgspec.Struct``, whose annotations may
        carry constraints.

    >>> from crocusshunt.routing import Pool
    >>> faults = convert_fields(InputSource('pool'), {}, Pool).unwrap_err()
    >>> faults[0].problem
    'missing'
    """
    type_info = msgspec.inspect.type_info(structure)
    fields = {field.name: field for field in _list_fields(type_info)}
    if source.is_text:
        values = _split_lists(values, fields)
    faults = tuple(_find_faults(source, values, structure, fields))
    if faults:
        return Err(faults)
    return Ok(msgspec.convert(values, structure, strict=not source.is_text))


def _list_fields(type_info: msgspec.inspect.Type) -> tuple[Any, ...]:
    fields: tuple[Any, ...] = getattr(type_info, 'fields', ())
    return fields


def _find_faults(
    source: InputSource,
    values: Mapping[str, Any],
    structure: type,
    fields: Mapping[str, Any],
) -> Iterator[Fault]:
    annotations = get_type_hints(structure, include_extras=True)
    for unknown in sorted(set(values) - set(fields)):
        place = f'{source.place} {unknown}'
        yield Fault(place, 'unknown key', ', '.join(sorted(fields)))
    for name, field in fields.items():
        place = f'{source.place} {name}'
        value = values.get(name, _MISSING)
        if value is _MISSING:
            problem = 'missing' if field.required else ''
        else:
            problem = _find_problem(source, value, annotations[name])
        if problem:
            yield Fault(place, problem, _describe_type(field.type))


def _find_problem(source: InputSource, value: Any, annotation: Any) -> str:
    try:
        msgspec.convert(value, annotation, strict=not source.is_text)
    except msgspec.ValidationError as error:
        return f"value '{value}': {error}"
    return ''


def _split_lists(
    values: Mapping[str, Any],
    fields: Mapping[str, Any],
) -> Mapping[str, Any]:
    list_names = {
        name
        for name, field in fields.items()
        if isinstance(field.type, msgspec.inspect.VarTupleType)
    }
    return {
        name: _split_list(text) if name in list_names else text
        for name, text in values.items()
    }


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]


def _describe_type(field_type: msgspec.inspect.Type) -> str:
    if isinstance(field_type, msgspec.inspect.EnumType):
        return ', '.join(str(member.value) for member in field_type.cls)
    name = _TYPE_NAMES.get(type(field_type), 'another type')
    bounds = [
        f'{sign} {getattr(field_type, limit)}'
        for limit, sign in (
            ('ge', '>='),
            ('gt', '>'),
            ('le', '<='),
            ('pattern', 'matching'),
        )
        if getattr(field_type, limit, None) is not None
    ]
    return ' '.join((name, *bounds))
