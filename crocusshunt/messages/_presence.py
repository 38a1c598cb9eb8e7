"""Heartbeats of a host's gateway to its controller."""

from crocusshunt.messages._bodies import Body, register_body


@register_body('gateway-heartbeat')
class GatewayHeartbeat(Body, frozen=True):
    """Says that the gateway of this host runs.

    :param is_leaving: True from the start of a planned stop.
    """

    is_leaving: bool


@register_body('heartbeat-noted')
class HeartbeatNoted(Body, frozen=True):
    """Answer to a heartbeat."""
