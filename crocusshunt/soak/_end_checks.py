"""Check of the ends of processes."""

from collections.abc import Iterator

from crocusshunt.soak._check_registry import CheckLimits, register_check
from crocusshunt.soak._records import Records


@register_check('own-end')
def _check_ends(records: Records, _limits: CheckLimits) -> Iterator[str]:
    """Yield the ends that nobody had asked for."""
    yield from records.own_ends
