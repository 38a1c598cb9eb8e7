"""Commands of the operators' program ``crocusctl``."""

from crocusshunt.ctl import (  # noqa: F401
    _audit,
    _changes,
    _checks,
    _keys,
    _load_shifting,
    _queries,
    _request_logs,
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
