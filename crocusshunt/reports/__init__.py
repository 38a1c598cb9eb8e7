"""Summaries and explanations from the log lines of ended requests."""

from crocusshunt.reports._explanation import (
    Explanation,
    UnknownRequestError,
    explain_request,
)
from crocusshunt.reports._loss_tables import describe_losses
from crocusshunt.reports._losses import Losses, LossPlace, find_losses
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
    'LossPlace',
    'Losses',
    'Summary',
    'UnknownRequestError',
    'describe_losses',
    'explain_request',
    'find_losses',
    'read_requests',
    'render_page',
    'summarize',
)
