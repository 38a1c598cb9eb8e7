"""Checks of the ends of processes, and of what fails inside them."""

from collections.abc import Iterator

from crocusshunt.soak._check_registry import CheckLimits, register_check
from crocusshunt.soak._records import Records


@register_check('own-end')
def _check_ends(records: Records, _limits: CheckLimits) -> Iterator[str]:
    """Yield the ends that nobody had asked for."""
    yield from records.own_ends


@register_check('no-program-error')
def _check_errors(records: Records, _limits: CheckLimits) -> Iterator[str]:
    """Yield the errors that hosts caught, which callers may not notice."""
    yield from records.program_errors
