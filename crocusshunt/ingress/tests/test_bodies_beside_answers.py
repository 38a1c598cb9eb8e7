"""Bodies of requests leave room for answers that are under way."""

from dataclasses import replace

from crocusshunt.ingress import EndCause, HostLedger, IngressLimits

_LIMITS = IngressLimits(
    max_host_bytes=100,
    max_body_bytes=90,
    small_body_bytes=10,
    small_reserve_bytes=20,
)


def _ignore(_cause: EndCause) -> None:
    """Do nothing."""


def test_long_body_is_refused_where_answers_need_the_room() -> None:
    ledger = HostLedger(_LIMITS)
    account = ledger.open(_ignore)
    assert account.try_hold_body(50)
    ledger.count_under_way = lambda: 40
    assert not account.try_hold_body(11)
    assert account.try_hold_body(10)


def test_small_body_is_taken_beside_answers() -> None:
    ledger = HostLedger(_LIMITS)
    ledger.count_under_way = lambda: 100
    assert ledger.open(_ignore).try_hold_body(10)


def test_single_body_may_be_longer_than_many_together() -> None:
    limits = replace(_LIMITS, max_body_bytes=40, single_body_bytes=80)
    ledger = HostLedger(limits)
    single, other = (ledger.open(_ignore) for _ in range(2))
    assert single.try_hold_body(80)
    assert not single.try_hold_body(11)
    assert not other.try_hold_body(15)
    single.close()
    assert other.try_hold_body(30)
    assert not ledger.open(_ignore).try_hold_body(11)
