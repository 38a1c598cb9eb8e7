"""HTTP servers, and the life of programs that have one."""

from crocusshunt.web._http import HttpService, json_response
from crocusshunt.web._running import run_services

__all__ = ('HttpService', 'json_response', 'run_services')
