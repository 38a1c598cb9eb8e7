"""Planning, confirmation and proposal of changes to tables.

Every command that changes tables does so through ``change_tables``. A command
that is repeated with the change id and revision that it printed is applied at
most once. If the change id was accepted, the change is only read; otherwise
it is proposed again on the revision of the first attempt.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from crocusshunt.client import ApiError, Proposal, RefusedCallError, Snapshot
from crocusshunt.configuration import Change, EditRequest
from crocusshunt.core import Fault
from crocusshunt.ctl._commands import Context, ExitStatus
from crocusshunt.ctl._failures import (
    report_failure,
    report_faults,
    report_refusal,
)
from crocusshunt.plans import (
    Consequence,
    RowChange,
    Severity,
    compare_rows,
    find_consequences,
    preview_edits,
)

NOT_ACCEPTED = 'not-accepted'
EditsResult = Result[tuple[EditRequest, ...], tuple[Fault, ...]]
Planner = Callable[[Snapshot], EditsResult]


class PlanDocument(msgspec.Struct, frozen=True):
    """The row changes of a plan and their consequences.

    :param revision: revision that the plan is based on.
    """

    revision: int
    changes: tuple[RowChange, ...]
    consequences: tuple[Consequence, ...]

    def describe(self) -> tuple[str, ...]:
        """Return the plan as lines for operators."""
        if not self.changes:
            return (f'no difference from revision {self.revision}',)
        return (
            f'from revision {self.revision}:',
            *(str(change) for change in self.changes),
            *(str(consequence) for consequence in self.consequences),
        )


class OutcomeDocument(msgspec.Struct, frozen=True):
    """An accepted change.

    :param is_repeated: whether it had been accepted before this command.
    """

    change_id: str
    revision: int
    is_repeated: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """Edits and the description of their effects."""

    edits: tuple[EditRequest, ...]
    document: PlanDocument

    @property
    def is_dangerous(self) -> bool:
        """Return whether an operator must confirm the plan."""
        return any(
            one.severity is Severity.danger
            for one in self.document.consequences
        )


async def change_tables(context: Context, planner: Planner) -> ExitStatus:
    """Plan, confirm and propose one change.

    :param planner: computes the edits from the tables in force.
    """
    expected = context.arguments['--from']
    if expected and not expected.isdecimal():
        fault = Fault(
            '--from', f"'{expected}' is not a revision number", 'a number'
        )
        return report_faults(context, (fault,))
    accepted = await _find_accepted_change(context)
    if isinstance(accepted, Err):
        return report_failure(context, accepted.err_value)
    if accepted.ok_value is not None:
        return _report_repeated_change(context, accepted.ok_value)
    return await _plan_and_propose(context, planner)


async def _plan_and_propose(context: Context, planner: Planner) -> ExitStatus:
    snapshot = await context.client.get_snapshot()
    if isinstance(snapshot, Err):
        return report_failure(context, snapshot.err_value)
    plan = make_plan(snapshot.ok_value, planner)
    if isinstance(plan, Err):
        return report_faults(context, plan.err_value)
    if not plan.ok_value.edits:
        return _report_no_difference(context, plan.ok_value)
    if not _is_confirmed(context, plan.ok_value):
        return ExitStatus.unconfirmed
    return await _propose(context, plan.ok_value)


def make_plan(
    current: Snapshot,
    planner: Planner,
) -> Result[Plan, tuple[Fault, ...]]:
    """Return the plan of a change, or all its faults."""
    edits = planner(current)
    if isinstance(edits, Err):
        return edits
    planned_tables = preview_edits(current.tables, edits.ok_value)
    if isinstance(planned_tables, Err):
        return planned_tables
    document = PlanDocument(
        current.revision,
        compare_rows(current.tables, edits.ok_value),
        find_consequences(current.tables, planned_tables.ok_value),
    )
    return Ok(Plan(edits.ok_value, document))


async def _find_accepted_change(
    context: Context,
) -> Result[Change | None, ApiError]:
    change_id = context.arguments['--change-id']
    if not change_id:
        return Ok(None)
    found = await context.client.find_change(change_id)
    if isinstance(found, Err):
        error = found.err_value
        is_new = (
            isinstance(error, RefusedCallError)
            and error.document.code == NOT_ACCEPTED
        )
        return Ok(None) if is_new else Err(error)
    revision = found.ok_value.revision
    changes = await context.client.list_changes(revision - 1)
    return changes.map(lambda listed: listed[0])


def _report_repeated_change(context: Context, change: Change) -> ExitStatus:
    if change.reason != context.arguments['--reason']:
        report_refusal(
            context,
            'change-id-used',
            f'{change.change_id} is the change "{change.reason}" of '
            f'{change.author}, revision {change.revision}',
            'leave --change-id out to make another change',
        )
        return ExitStatus.wrong_input
    return _report_accepted(
        context,
        OutcomeDocument(change.change_id, change.revision, is_repeated=True),
    )


def _report_no_difference(context: Context, plan: Plan) -> ExitStatus:
    context.console.write_outcome(plan.document, plan.document.describe())
    return ExitStatus.done


def _report_accepted(
    context: Context,
    document: OutcomeDocument,
) -> ExitStatus:
    suffix = ' before; nothing was sent again' if document.is_repeated else ''
    line = f'accepted as revision {document.revision}{suffix}'
    context.console.write_outcome(document, (line,))
    return ExitStatus.done


def _is_confirmed(context: Context, plan: Plan) -> bool:
    for line in plan.document.describe():
        context.console.write_progress(line)
    if not plan.is_dangerous or context.arguments['--yes']:
        return True
    if not context.console.is_interactive:
        report_refusal(
            context,
            'not-confirmed',
            'the change is dangerous and nobody is there to confirm it',
            'read the lines marked with "!", then repeat with --yes',
        )
        return False
    if context.console.confirm('This change is dangerous.'):
        return True
    report_refusal(context, 'not-confirmed', 'nothing done', 'plan again')
    return False


async def _propose(context: Context, plan: Plan) -> ExitStatus:
    arguments = context.arguments
    given = arguments['--change-id']
    proposal = Proposal(
        change_id=given or context.environment.identifiers.create('change'),
        expected=int(arguments['--from'] or plan.document.revision),
        reason=arguments['--reason'],
        edits=plan.edits,
    )
    repetition = f'--change-id={proposal.change_id} --from={proposal.expected}'
    context.console.write_progress(
        f'if the answer is lost, repeat with {repetition}'
    )
    accepted = await context.client.propose(proposal)
    if isinstance(accepted, Err):
        return report_failure(context, accepted.err_value)
    revision = accepted.ok_value.revision
    document = OutcomeDocument(proposal.change_id, revision, is_repeated=False)
    return _report_accepted(context, document)
