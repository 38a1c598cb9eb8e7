"""Tests of ejection, slow start, in-flight limits and server selection."""

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.delivery import (
    EjectionSettings,
    OutlierDetector,
    ServerLoads,
    choose_server,
    find_selection_policy,
    list_selection_policies,
)
from crocusshunt.routing import Server, ServerState

_POOL = tuple(
    Server(f's{number}', 'verify', f'127.0.0.1:{number}', 'r', 'd', slots=4)
    for number in range(1, 6)
)
_SETTINGS = EjectionSettings()


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.integers(1, 5),
    st.lists(st.tuples(st.integers(0, 4), st.floats(0, 5), st.booleans())),
)
def test_ejection_leaves_at_least_half_of_the_pool(
    size: int, events: list[tuple[int, float, bool]]
) -> None:
    pool = _POOL[:size]
    detector = OutlierDetector(_SETTINGS)
    now = float(0)
    for position, step, is_good in events:
        now += step
        server = pool[position % size]
        if is_good:
            detector.note_success(server, now)
        else:
            detector.note_failure(server, now)
        open_servers = detector.select_available(pool, now)
        assert len(open_servers) >= size - size // 2
        assert all(0 < detector.compute_share(one, now) <= 1 for one in pool)


def test_ejected_server_returns_with_slow_start() -> None:
    detector = OutlierDetector(_SETTINGS)
    for _ in range(_SETTINGS.failures):
        detector.note_failure(_POOL[0], 0)
    assert _POOL[0] not in detector.select_available(_POOL, 1.9)
    assert _POOL[0] in detector.select_available(_POOL, 2)
    assert detector.compute_share(_POOL[0], 2) == _SETTINGS.ramp_start
    detector.note_success(_POOL[0], 7)
    assert round(detector.compute_share(_POOL[0], 7) * 100) == 55
    # One more failure ejects it at once, for twice as long.
    detector.note_failure(_POOL[0], 8)
    detector.note_failure(_POOL[0], 8)
    assert _POOL[0] not in detector.select_available(_POOL, 11.9)


def test_overload_lowers_the_limit_and_responses_raise_it() -> None:
    loads = ServerLoads()
    server = _POOL[0]
    for _ in range(20):
        loads.note_shed(server)
    loads.acquire(server)
    assert not loads.has_room(server)
    for _ in range(20):
        loads.note_answer(server)
    assert loads.has_room(server)
    assert loads.find_utilization(server) == 1 / server.slots


def test_no_policy_selects_a_full_draining_or_weightless_server() -> None:
    rng = random.Random(1)
    for name in list_selection_policies():
        loads = ServerLoads()
        pool = (
            _POOL[0],
            replace(_POOL[1], state=ServerState.draining),
            replace(_POOL[2], weight=0),
        )
        for _ in range(_POOL[0].slots):
            chosen = choose_server(
                pool, loads, rng, choose=find_selection_policy(name)
            )
            assert chosen == _POOL[0]
            loads.acquire(_POOL[0])
        assert choose_server(pool, loads, rng) is None
