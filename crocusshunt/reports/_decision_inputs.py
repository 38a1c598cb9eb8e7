"""What the decisions on a request were based on, from its log line."""

import msgspec


class SendingLine(msgspec.Struct, frozen=True):
    """One attempt to send the request to a backend server.

    :param sent_s: time of the attempt, in seconds after the request arrived.
    :param expected_s: duration that the host expected, in seconds.
    :param verdict: how the attempt ended.
    :param detail: cause of a failure, empty if there is none.
    """

    server: str
    region: str = ''
    sent_s: float = 0
    expected_s: float = 0
    verdict: str = ''
    detail: str = ''

    def describe(self) -> str:
        """Return one line of text for operators."""
        cause = f' ({self.detail})' if self.detail else ''
        return (
            f'to {self.server} in {self.region} after {self.sent_s:.3f} s, '
            f'expected {self.expected_s:.3f} s: {self.verdict}{cause}'
        )


class ConsideredLine(msgspec.Struct, frozen=True):
    """A backend server that a refused request did not get.

    :param load: estimated number of requests at the server.
    :param wait_s: expected wait for a slot, in seconds.
    :param rule: why a free slot was not taken, empty without one.
    """

    server: str
    load: float = 0
    slots: int = 0
    wait_s: float = 0
    rule: str = ''

    def describe(self) -> str:
        """Return one line of text for operators."""
        requests = f'{self.load:.1f} requests for {self.slots} slots'
        if self.rule:
            return f'free  {self.server} had {requests}: {self.rule}'
        wait = f'a wait of {self.wait_s:.3f} s'
        return f'full  {self.server} had {requests}, {wait}'


class RelayLine(msgspec.Struct, frozen=True):
    """A host that a request was passed on to.

    :param detail: cause of a failure, empty if the host answered.
    """

    host: str
    detail: str = ''

    def describe(self) -> str:
        """Return one line of text for operators."""
        return f'{self.host}: {self.detail or "answered"}'


class RequestInputs(msgspec.Struct, frozen=True):
    """Inputs of the decisions on one request.

    :param configuration: version of the configuration in force at the host.
    :param patience_s: how long the caller was willing to wait, in seconds.
    :param retry_after_s: time after which the caller was told to retry, in
        seconds.
    :param sendings: the attempts, in order.
    :param considered: backend servers that it did not get.
    :param relays: other hosts that it was passed on to.
    """

    configuration: int = 0
    patience_s: float | None = None
    retry_after_s: float | None = None
    sendings: tuple[SendingLine, ...] = ()
    considered: tuple[ConsideredLine, ...] = ()
    relays: tuple[RelayLine, ...] = ()

    def describe(self) -> tuple[str, ...]:
        """Return lines of text for operators."""
        lines = [f'  sent  {one.describe()}' for one in self.sendings]
        lines.extend(f'  {one.describe()}' for one in self.considered)
        lines.extend(f'  host  {one.describe()}' for one in self.relays)
        if self.configuration:
            lines.append(f'  by    configuration {self.configuration}')
        if self.patience_s is not None:
            lines.append(f'  time  the caller waits {self.patience_s:.3f} s')
        if self.retry_after_s is not None:
            lines.append(f'  back  after {self.retry_after_s:.2f} s')
        return tuple(lines)


def parse_inputs(line: str) -> RequestInputs:
    """Return the inputs in a request's log line, empty for other lines.

    >>> parse_inputs('{"configuration":7}').describe()
    ('  by    configuration 7',)
    >>> parse_inputs('not a JSON line').describe()
    ()
    """
    try:
        return msgspec.json.decode(line, type=RequestInputs)
    except msgspec.DecodeError:
        return RequestInputs()
