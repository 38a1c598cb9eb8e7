"""Look-ups of routes by prefix, against a plain search of all routes."""

from hypothesis import given
from hypothesis import strategies as st

from crocusshunt.catalog import Catalog, CatalogIndex, RouteRule

_PATHS = st.text('/ab', max_size=8)


def _search(routes: list[RouteRule], path: str) -> str | None:
    """Return the name of the route with the longest prefix, first by name."""
    matching = [one for one in routes if path.startswith(one.prefix)]
    ordered = sorted(matching, key=lambda one: (-len(one.prefix), one.name))
    return next((one.name for one in ordered), None)


@given(st.lists(_PATHS, max_size=8), _PATHS)
def test_longest_prefix_is_found_as_by_a_search(
    prefixes: list[str], path: str
) -> None:
    routes = [
        RouteRule(f'r{number % 3}', 'example', prefix, ())
        for number, prefix in enumerate(prefixes)
    ]
    found = CatalogIndex(Catalog(1, routes=tuple(routes))).match(
        'example', path
    )
    assert getattr(found, 'name', None) == _search(routes, path)


class _CountedText(str):  # noqa: WPS600 - it stands for a path.
    """A path that counts how often a part of it is taken or compared."""

    steps = 0

    def __getitem__(self, key: object) -> str:
        self.steps += 1
        return super().__getitem__(key)  # type: ignore[index]

    def startswith(self, *arguments: object) -> bool:
        self.steps += 1
        return super().startswith(*arguments)  # type: ignore[arg-type]

    def partition(self, _separator: str) -> tuple[str, str, str]:
        return (self, '', '')


def _count_steps(routes: int) -> int:
    rules = tuple(
        RouteRule(f'r{number}', 'example', f'/{number:05}/', ())
        for number in range(routes)
    )
    path = _CountedText('/other/')
    CatalogIndex(Catalog(1, routes=rules)).match('example', path)
    return path.steps


def test_look_up_takes_as_many_steps_with_many_routes() -> None:
    """With 1,400 routes on a name, each request was compared with each."""
    assert _count_steps(10_000) == _count_steps(10)
