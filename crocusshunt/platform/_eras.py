"""The era that the store names in its answers."""

import logging

from result import Err, Ok, Result

from crocusshunt.core import parse_count
from crocusshunt.feeds import FeedError, FeedRefusedError
from crocusshunt.logs import log_event

ERA_HEADER = 'Store-Era'
# The store counts its eras from 1, and a missing header means the first one.
_FIRST_ERA = 1
_MAX_ERA = 1_000_000


class EraReader:
    """Reads the era of each answer, and notices eras that fall.

    ``newest`` is the highest one until now, counted from 0.

    >>> eras = EraReader()
    >>> eras.read(None), eras.read('3'), eras.newest
    (Ok(0), Ok(2), 2)
    >>> eras.read('2').is_err(), eras.read('x')
    (True, Ok(2))
    """

    def __init__(self) -> None:
        """Start in the first era."""
        self.newest = 0
        self._has_logged = False

    def read(self, header: str | None) -> Result[int, FeedError]:
        """Return the era of an answer, counted from 0.

        An unreadable one is ignored, and logged once.

        :param header: value of the header, None without one.
        """
        number = _FIRST_ERA if header is None else parse_count(header)
        if number is None or number > _MAX_ERA:
            self._log_unreadable(header)
            return Ok(self.newest)
        era = max(0, number - _FIRST_ERA)
        if era < self.newest:
            log_event(
                'answer of an earlier store era not used',
                logging.ERROR,
                era=era,
                newest=self.newest,
            )
            return Err(FeedRefusedError('era of the store fell'))
        self.newest = era
        return Ok(era)

    def _log_unreadable(self, header: str | None) -> None:
        if not self._has_logged:
            self._has_logged = True
            log_event(
                'unreadable store era ignored', logging.WARNING, text=header
            )
