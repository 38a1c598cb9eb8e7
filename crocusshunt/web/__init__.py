"""HTTP servers, and running services until a signal."""

from crocusshunt.web._http import HttpService, json_response
from crocusshunt.web._lifecycle import run_services

__all__ = ('HttpService', 'json_response', 'run_services')
