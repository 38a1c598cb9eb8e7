"""Commands of the operators' program."""

from crocusshunt.ctl import _changes as changes
from crocusshunt.ctl import _queries as queries
from crocusshunt.ctl._commands import Arguments, run_command

__all__ = ('Arguments', 'changes', 'queries', 'run_command')
