"""Summaries and explanations from the log lines of ended requests."""

from crocusshunt.reports._explanation import (
    Explanation,
    UnknownRequestError,
    explain_request,
)
from crocusshunt.reports._page import render_page
from crocusshunt.reports._summary import (
    CustomerSummary,
    Summary,
    read_requests,
    summarize,
)

__all__ = (
    'CustomerSummary',
    'Explanation',
    'Summary',
    'UnknownRequestError',
    'explain_request',
    'read_requests',
    'render_page',
    'summarize',
)
