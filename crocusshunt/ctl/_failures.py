"""Reports of failed commands, each with the operator's next step."""

from collections.abc import Iterable, Mapping

import msgspec

from crocusshunt.api import ErrorDocument
from crocusshunt.client import ApiError, RefusedCallError, UnreachableApiError
from crocusshunt.core import Fault
from crocusshunt.ctl._commands import Context, ExitStatus

_WAIT_FOR_STORE = (
    'wait until "crocusctl status" shows a small evidence age, '
    'then repeat as shown'
)
_UNKNOWN_OUTCOME_CODES = frozenset(
    ('unknown-outcome', 'store-unreachable', 'store-unavailable'),
)
_NEXT_STEPS: Mapping[str, str] = {
    'operator-unknown': (
        'name the file that holds your operator key with --key=FILE'
    ),
    'operator-forbidden': 'ask an operator who has that role',
    'revision-conflict': (
        'read the other change with "crocusctl history", then plan again'
    ),
    'invalid-change': 'correct the rows named above, then repeat',
    'store-unreachable': _WAIT_FOR_STORE,
    'store-unavailable': _WAIT_FOR_STORE,
    'witnesses-missing': (
        'start the missing crocus-api processes, then repeat as shown; '
        'docs/operators/alarms.md says what to do if one is gone for good'
    ),
    'change-id-reused': 'leave --change-id out to make another change',
    'unknown-outcome': 'repeat as shown; it is applied at most once',
}
_CHECK_API = 'check --api and that crocus-api runs'
_READ_ALARMS_PAGE = 'read docs/operators/alarms.md'


class FailureDocument(msgspec.Struct, frozen=True):
    """Report of a failed command.

    :param next_step: what the operator should do next.
    """

    code: str
    detail: str
    next_step: str
    faults: tuple[str, ...] = ()


def report_failure(context: Context, error: ApiError) -> ExitStatus:
    """Report a failed API call and return the exit status."""
    document = _describe(error)
    _show_document(context, document)
    is_unknown = document.code in _UNKNOWN_OUTCOME_CODES
    if isinstance(error, UnreachableApiError) or is_unknown:
        return ExitStatus.unknown
    return ExitStatus.refused


def report_faults(
    context: Context,
    faults: Iterable[Fault],
    next_step: str = 'correct the input, then repeat',
) -> ExitStatus:
    """Report faults in the operator's input and return the exit status."""
    texts = tuple(str(fault) for fault in faults)
    document = FailureDocument('wrong-input', 'nothing done', next_step, texts)
    _show_document(context, document)
    return ExitStatus.wrong_input


def report_refusal(
    context: Context,
    code: str,
    detail: str,
    next_step: str,
) -> None:
    """Report why a command was not carried out."""
    _show_document(context, FailureDocument(code, detail, next_step))


def _describe(error: ApiError) -> FailureDocument:
    if not isinstance(error, RefusedCallError):
        return FailureDocument(error.code, error.describe(), _CHECK_API)
    document = error.document
    return FailureDocument(
        document.code,
        '' if document.faults else _describe_detail(document),
        _NEXT_STEPS.get(document.code, _READ_ALARMS_PAGE),
        document.faults,
    )


def _describe_detail(document: ErrorDocument) -> str:
    conflict = document.conflict
    if conflict is not None:
        rows = ', '.join(f'{edit.table} {edit.name}' for edit in conflict.edits)
        return (
            f'{conflict.author} changed {rows} first ("{conflict.reason}"); '
            f'revision {conflict.revision} is in force'
        )
    return document.detail.removeprefix(f'{document.code}: ')


def _show_document(context: Context, document: FailureDocument) -> None:
    first = document.code
    if document.detail:
        first = f'{document.code}: {document.detail}'
    context.console.write_outcome(
        document,
        (first, *document.faults, f'next: {document.next_step}'),
    )
