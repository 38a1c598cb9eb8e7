"""Commands that grant and withdraw keys of customers and operators.

The secret is written to a file before the change is proposed, and a repeated
command reads it from that file, so the granted key is always the one in the
file.
"""

import os
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

from result import Err, Ok, Result

from crocusshunt.client import Snapshot
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.core import Fault
from crocusshunt.ctl._commands import Context, ExitStatus, register_command
from crocusshunt.ctl._console import format_table
from crocusshunt.ctl._failures import report_failure, report_faults
from crocusshunt.ctl._proposals import EditsResult, change_tables
from crocusshunt.keys import (
    Key,
    KeyState,
    create_key,
    digest_key,
    extract_key_name,
)
from crocusshunt.operators import Operator, Role
from crocusshunt.routing import Tables

_OWNER_ONLY = 0o600


@register_command('key', 'grant')
async def grant_key(context: Context) -> ExitStatus:
    """Grant a customer a key and keep its secret in a file."""
    name = context.arguments['NAME']
    secret = _read_or_create_secret(context, name)
    if isinstance(secret, Err):
        return report_faults(context, (secret.err_value,))
    row = Key(name, context.arguments['CUSTOMER'], digest_key(secret.ok_value))
    return await change_tables(
        context,
        lambda current: _plan_grant(current.tables, row),
    )


@register_command('key', 'withdraw')
async def withdraw_key(context: Context) -> ExitStatus:
    """Withdraw a customer's key, so that it is no longer accepted."""
    name = context.arguments['NAME']

    def plan_withdrawal(current: Snapshot) -> EditsResult:
        key = current.tables.find(Key, name)
        if key is None:
            return Err((Fault(f'key {name}', 'does not exist'),))
        if key.state is KeyState.withdrawn:
            return Ok(())
        withdrawn = replace(key, state=KeyState.withdrawn)
        return Ok((EditRequest('key', name, encode_row(withdrawn)),))

    return await change_tables(context, plan_withdrawal)


@register_command('key', 'list')
async def list_keys(context: Context) -> ExitStatus:
    """Show the name, customer and state of each key, never its secret."""
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(context, snapshot.err_value)
    keys = snapshot.ok_value.tables.select(Key)
    rows = [(key.name, key.customer, key.state.value) for key in keys]
    context.console.write_outcome(
        [
            {'name': name, 'customer': customer, 'state': state}
            for name, customer, state in rows
        ],
        format_table(('NAME', 'CUSTOMER', 'STATE'), rows),
    )
    return ExitStatus.done


@register_command('operator', 'create')
async def create_operator(context: Context) -> ExitStatus:
    """Create the first operator's key and show the digest for the settings."""
    secret = _read_or_create_secret(context, context.arguments['NAME'])
    if isinstance(secret, Err):
        return report_faults(context, (secret.err_value,))
    digest = digest_key(secret.ok_value)
    context.console.write_outcome(
        {'bootstrap_digest': digest},
        (f'bootstrap_digest = {digest}',),
    )
    return ExitStatus.done


@register_command('operator', 'grant')
async def grant_operator(context: Context) -> ExitStatus:
    """Grant an operator a key with a role."""
    name = context.arguments['NAME']
    roles: Mapping[str, Role] = {role.value: role for role in Role}
    role = roles.get(context.arguments['ROLE'])
    if role is None:
        fault = Fault('ROLE', 'is not a role', ', '.join(roles))
        return report_faults(context, (fault,))
    secret = _read_or_create_secret(context, name)
    if isinstance(secret, Err):
        return report_faults(context, (secret.err_value,))
    row = Operator(name, role, digest_key(secret.ok_value))
    edit = EditRequest('operator', name, encode_row(row))
    return await change_tables(
        context,
        lambda current: Ok(
            () if current.tables.find(Operator, name) == row else (edit,),
        ),
    )


@register_command('operator', 'withdraw')
async def withdraw_operator(context: Context) -> ExitStatus:
    """Withdraw an operator's key, so that it is no longer accepted."""
    name = context.arguments['NAME']

    def plan_withdrawal(current: Snapshot) -> EditsResult:
        if current.tables.find(Operator, name) is None:
            return Err((Fault(f'operator {name}', 'does not exist'),))
        return Ok((EditRequest('operator', name, None),))

    return await change_tables(context, plan_withdrawal)


def _plan_grant(tables: Tables, row: Key) -> EditsResult:
    current = tables.find(Key, row.name)
    if current is None:
        return Ok((EditRequest('key', row.name, encode_row(row)),))
    if current == row:
        return Ok(())
    problem = (
        f'already exists: customer {current.customer}, '
        f'state {current.state.value}'
    )
    return Err((Fault(f'key {row.name}', problem, 'an unused name'),))


def _read_or_create_secret(context: Context, name: str) -> Result[str, Fault]:
    path = Path(context.arguments['--secret-file'] or f'{name}.key')
    try:
        secret = _open_or_create_secret(path, name)
    except OSError as error:
        return Err(Fault(str(path), str(error), 'a file that can be written'))
    if extract_key_name(secret) != name:
        allowed = f'a new file, or the key of {name}'
        return Err(Fault(str(path), 'holds another key', allowed))
    context.console.write_progress(
        f'the secret is in {path}; it works once accepted'
    )
    return Ok(secret)


def _open_or_create_secret(path: Path, name: str) -> str:
    if path.exists():
        return path.read_text(encoding='utf-8').strip()
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    descriptor = os.open(path, flags, _OWNER_ONLY)
    secret = create_key(name)
    with os.fdopen(descriptor, 'w', encoding='utf-8') as stream:
        stream.write(f'{secret}\n')
        stream.flush()
        os.fsync(descriptor)
    return secret
