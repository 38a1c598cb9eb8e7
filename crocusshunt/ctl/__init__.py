"""Commands of the operators' program."""

from crocusshunt.ctl import (  # noqa: F401
    _audits,
    _changes,
    _checks,
    _keys,
    _movements,
    _queries,
    _requests,
)
from crocusshunt.ctl._commands import (
    Arguments,
    CommandEnvironment,
    ExitStatus,
    run_command,
)
from crocusshunt.ctl._console import Console

__all__ = (
    'Arguments',
    'CommandEnvironment',
    'Console',
    'ExitStatus',
    'run_command',
)
