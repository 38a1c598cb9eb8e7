"""Callers may write the name of a host in any of its forms."""

import pytest

from crocusshunt.front.tests._deployment import deploy


@pytest.mark.parametrize(
    'name', ['a.example', 'A.EXAMPLE', 'a.example.', 'a.example.:80']
)
async def test_any_form_of_a_host_name_finds_the_route(name: str) -> None:
    async with deploy('s1') as deployment:
        assert (await deployment.send(Host=name))[0] == 200


async def test_name_with_two_final_dots_has_no_route() -> None:
    async with deploy('s1') as deployment:
        assert (await deployment.send(Host='a.example..'))[0] == 404
