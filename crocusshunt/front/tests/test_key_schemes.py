"""Callers may write the scheme of their key in any case."""

import pytest

from crocusshunt.front.tests._deployment import KEY, deploy


@pytest.mark.parametrize('scheme', ['Token', 'token', 'TOKEN'])
async def test_scheme_of_a_key_is_taken_in_any_case(scheme: str) -> None:
    async with deploy('s1') as deployment:
        status, _text, _response = await deployment.send(
            key=None, Authorization=f'{scheme} {KEY}'
        )
        assert status == 200


async def test_another_scheme_is_refused() -> None:
    async with deploy('s1') as deployment:
        status, _text, _response = await deployment.send(
            key=None, Authorization=f'Basic {KEY}'
        )
        assert status == 401
