"""Which connection makes room for a new one."""

from crocusshunt.ingress import Roster


def _fill(*names: str) -> Roster[str]:
    roster = Roster[str](len(names))
    for name in names:
        roster.add(name, 0)
        roster.note_busy(name)
    return roster


def test_longest_stalled_body_is_given_up() -> None:
    stalls_s = {'a': 0, 'b': 2, 'c': 5}
    roster = _fill(*stalls_s)
    assert roster.find_stalled(stalls_s.__getitem__, now=10) == 'c'


def test_body_that_has_just_come_further_stays() -> None:
    roster = _fill('a', 'b')
    assert roster.find_stalled(lambda _name: 0.9, now=10) is None


def test_rush_of_connections_looks_at_all_once_in_a_while() -> None:
    roster = _fill('a')
    asked: list[str] = []

    def measure(name: str) -> float:
        asked.append(name)
        return 0

    for step in range(100):
        roster.find_stalled(measure, now=10 + step / 1000)
    assert len(asked) <= 2
