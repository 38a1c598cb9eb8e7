"""What a backend server's response says about an attempt."""

from http import HTTPStatus

from crocusshunt.front._attempts import Outcome, Verdict
from crocusshunt.front._settings import HeaderNames
from crocusshunt.upstream import UpstreamAnswer


def classify_answer(response: UpstreamAnswer, names: HeaderNames) -> Outcome:
    """Return the outcome of an attempt with a complete response."""
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return Outcome(Verdict.misdirected, detail='another server')
    if response.find(names.not_run.lower().encode()) is not None:
        return Outcome(Verdict.shed, detail=f'status {response.status}')
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        detail = f'status {response.status}'
        return Outcome(Verdict.failed, response, detail)
    if response.find(names.signature.lower().encode()) is None:
        return Outcome(Verdict.broken, detail='unsigned answer')
    return Outcome(Verdict.answered, response)
