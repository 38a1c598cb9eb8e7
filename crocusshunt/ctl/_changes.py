"""Commands that propose changes."""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from result import Err, Ok, Result

from crocusshunt.client import Proposal, Snapshot
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.core import Fault, Identifiers
from crocusshunt.ctl._commands import (
    Context,
    ExitStatus,
    register_command,
    report_failure,
)
from crocusshunt.declarations import compare_tables, read_declarations
from crocusshunt.keys import Key, KeyState, create_key, digest_key
from crocusshunt.routing import Server, ServerState

DECLARED_TABLES = (
    'block',
    'customer',
    'failure_domain',
    'link',
    'pool',
    'route',
    'server',
)

_Edits = Result[tuple[EditRequest, ...], Fault]
_Planner = Callable[[Snapshot], _Edits]


@register_command('plan')
async def plan(context: Context) -> ExitStatus:
    """Print the edits that applying a directory would make."""
    tables = read_declarations(Path(context.arguments['DIR']))
    if isinstance(tables, Err):
        print(tables.err_value.describe())
        return ExitStatus.wrong_input
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(snapshot.err_value)
    held = snapshot.ok_value.tables
    for edit in compare_tables(held, tables.ok_value, DECLARED_TABLES):
        sign = '-' if edit.row is None else '+'
        row = edit.row or ''
        print(sign, edit.table, edit.name, row)
    return ExitStatus.done


@register_command('apply')
async def apply(context: Context) -> ExitStatus:
    """Put the declarations of a directory in force."""
    tables = read_declarations(Path(context.arguments['DIR']))
    if isinstance(tables, Err):
        print(tables.err_value.describe())
        return ExitStatus.wrong_input
    wanted = tables.ok_value
    return await _change(
        context,
        lambda held: Ok(compare_tables(held.tables, wanted, DECLARED_TABLES)),
    )


@register_command('key', 'grant')
async def grant_key(context: Context) -> ExitStatus:
    """Create a key and print it once."""
    name = context.arguments['NAME']
    secret = create_key(name)
    row = Key(name, context.arguments['CUSTOMER'], digest_key(secret))
    edit = EditRequest('key', name, encode_row(row))
    status = await _change(context, lambda _held: Ok((edit,)))
    if status is ExitStatus.done:
        print(secret)
    return status


@register_command('key', 'withdraw')
async def withdraw_key(context: Context) -> ExitStatus:
    """Stop honouring a key."""
    name = context.arguments['NAME']

    def edit(held: Snapshot) -> _Edits:
        key = held.tables.find(Key, name)
        if key is None:
            return Err(Fault(f'key {name}', 'does not exist'))
        withdrawn = replace(key, state=KeyState.withdrawn)
        return Ok((EditRequest('key', name, encode_row(withdrawn)),))

    return await _change(context, edit)


@register_command('drain')
async def drain(context: Context) -> ExitStatus:
    """Give a backend server no new work."""
    return await _set_state(context, ServerState.draining)


@register_command('undrain')
async def undrain(context: Context) -> ExitStatus:
    """Give a backend server new work again."""
    return await _set_state(context, ServerState.active)


async def _set_state(context: Context, state: ServerState) -> ExitStatus:
    name = context.arguments['SERVER']

    def edit(held: Snapshot) -> _Edits:
        server = held.tables.find(Server, name)
        if server is None:
            return Err(Fault(f'server {name}', 'does not exist'))
        row = encode_row(replace(server, state=state))
        return Ok((EditRequest('server', name, row),))

    return await _change(context, edit)


async def _change(context: Context, planner: _Planner) -> ExitStatus:
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(snapshot.err_value)
    edits = planner(snapshot.ok_value)
    if isinstance(edits, Err):
        print(edits.err_value)
        return ExitStatus.wrong_input
    given = context.arguments['--change-id']
    proposal = Proposal(
        change_id=given or Identifiers().create('change'),
        expected=snapshot.ok_value.revision,
        reason=context.arguments['--reason'],
        edits=edits.ok_value,
    )
    print(f'change id {proposal.change_id}')
    accepted = await context.client.propose(proposal)
    if isinstance(accepted, Err):
        return report_failure(accepted.err_value)
    print(f'accepted as revision {accepted.ok_value.revision}')
    return ExitStatus.done
