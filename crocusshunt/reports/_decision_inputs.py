"""What decided a request's course, from its log line."""

import msgspec


class SendingLine(msgspec.Struct, frozen=True):
    """One sending to a backend server.

    :param sent_s: from the request's arrival, in seconds.
    :param expected_s: how long the host expected it to take, in seconds.
    """

    server: str
    region: str = ''
    sent_s: float = 0
    expected_s: float = 0
    verdict: str = ''
    detail: str = ''

    def describe(self) -> str:
        """Return one line for operators."""
        cause = f' ({self.detail})' if self.detail else ''
        return (
            f'to {self.server} in {self.region} after {self.sent_s:.3f} s, '
            f'expected {self.expected_s:.3f} s: {self.verdict}{cause}'
        )


class ConsideredLine(msgspec.Struct, frozen=True):
    """A backend server that had no room.

    :param load: requests that the host believed to be there.
    :param wait_s: expected wait for a slot, in seconds.
    """

    server: str
    load: float = 0
    slots: int = 0
    wait_s: float = 0

    def describe(self) -> str:
        """Return one line for operators."""
        return (
            f'{self.server} had {self.load:.1f} requests for {self.slots} '
            f'slots, a wait of {self.wait_s:.3f} s'
        )


class RequestInputs(msgspec.Struct, frozen=True):
    """Inputs of the decisions on one request.

    :param configuration: version that was in force at the host.
    :param patience_s: how long the caller said that it waits, in seconds.
    :param retry_after_s: when the caller was told to come back, in seconds.
    """

    configuration: int = 0
    patience_s: float | None = None
    retry_after_s: float | None = None
    sendings: tuple[SendingLine, ...] = ()
    considered: tuple[ConsideredLine, ...] = ()

    def describe(self) -> tuple[str, ...]:
        """Return lines for operators."""
        lines = [f'  sent  {one.describe()}' for one in self.sendings]
        lines.extend(f'  full  {one.describe()}' for one in self.considered)
        if self.configuration:
            lines.append(f'  by    configuration {self.configuration}')
        if self.patience_s is not None:
            lines.append(f'  time  the caller waits {self.patience_s:.3f} s')
        if self.retry_after_s is not None:
            lines.append(f'  back  after {self.retry_after_s:.2f} s')
        return tuple(lines)


def parse_inputs(line: str) -> RequestInputs:
    """Return the inputs of a request's log line, none from another line.

    >>> parse_inputs('{"configuration":7}').describe()
    ('  by    configuration 7',)
    >>> parse_inputs('no line of ours').describe()
    ()
    """
    try:
        return msgspec.json.decode(line, type=RequestInputs)
    except msgspec.DecodeError:
        return RequestInputs()
