"""Heartbeats that a gateway sends to the controller on its host."""

from crocusshunt.messages._bodies import Body, register_body


@register_body('gateway-heartbeat')
class GatewayHeartbeat(Body, frozen=True):
    """Reports that the gateway of this host is running.

    :param is_leaving: True from the start of a planned stop.
    """

    is_leaving: bool


@register_body('heartbeat-noted')
class HeartbeatNoted(Body, frozen=True):
    """Acknowledges a heartbeat."""
