"""Annotated types that validate the values of settings."""

from typing import Annotated

from msgspec import Meta

_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_IP = rf'{_OCTET}(\.{_OCTET}){{3}}'
_PORT = (
    '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3}|0)'
)
_MAX_PORT = 65_535

HostAddress = Annotated[str, Meta(pattern=f'^{_IP}$')]
Port = Annotated[int, Meta(ge=0, le=_MAX_PORT)]
TcpAddress = Annotated[str, Meta(pattern=f'^tcp://{_IP}:{_PORT}$')]
BaseUrl = Annotated[str, Meta(pattern=f'^https?://[a-z0-9.-]+(:{_PORT})?$')]
Duration = Annotated[float, Meta(gt=0)]
OptionalDigest = Annotated[str, Meta(pattern='^([0-9a-f]{64})?$')]
