"""Reading of an INI file into a settings data class."""

from collections.abc import Mapping
from configparser import ConfigParser
from configparser import Error as ParserError
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import msgspec
from result import Err, Ok, Result

from crocusshunt.core import CrocusError, Fault, InputSource, convert_fields

_SettingsType = TypeVar('_SettingsType')


@dataclass(unsafe_hash=True)
class SettingsError(CrocusError):
    """Settings or declarations that are invalid.

    :param faults: every fault, each with its file, section and key.
    """

    code = 'settings'

    faults: tuple[Fault, ...]

    def describe(self) -> str:
        """Return all faults, one per line."""
        return '\n'.join(str(fault) for fault in self.faults)


def read_sections(
    path: Path,
) -> Result[Mapping[str, Mapping[str, str]], SettingsError]:
    """Return the sections of an INI file, in the order of the file.

    :param path: an INI file in UTF-8.
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
    except (OSError, ParserError, UnicodeDecodeError) as error:
        problem = ' '.join(str(error).split())
        return Err(SettingsError((Fault(str(path), problem),)))
    return Ok({name: dict(parser[name]) for name in parser.sections()})


def read_settings(
    path: Path,
    settings_class: type[_SettingsType],
) -> Result[_SettingsType, SettingsError]:
    """Read and validate a settings file.

    Unknown sections are faults. A missing section is read as an empty one,
    so its keys take their defaults.

    :param path: an INI file in UTF-8.
    :param settings_class: data class with one field per section, whose type
        is a data class with one field per key.
    """
    return read_sections(path).and_then(
        lambda sections: _build(str(path), sections, settings_class),
    )


def _build(
    path: str,
    sections: Mapping[str, Mapping[str, str]],
    settings_class: type[_SettingsType],
) -> Result[_SettingsType, SettingsError]:
    hints = get_type_hints(settings_class)
    faults = [
        Fault(f'{path} [{name}]', 'unknown section', ', '.join(sorted(hints)))
        for name in sections
        if name not in hints
    ]
    built: dict[str, Any] = {}
    for name, section_class in hints.items():
        source = InputSource(f'{path} [{name}]', is_text=True)
        section = convert_fields(
            source,
            sections.get(name, {}),
            section_class,
        )
        if isinstance(section, Err):
            faults.extend(section.err_value)
        else:
            built[name] = section.ok_value
    if faults:
        return Err(SettingsError(tuple(faults)))
    return Ok(msgspec.convert(built, settings_class, from_attributes=True))
