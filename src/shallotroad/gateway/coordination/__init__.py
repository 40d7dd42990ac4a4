"""Placement of all gateways' requests by one coordinator per service.

Any gateway that is live and not draining can be the coordinator of a service. Each
gateway ranks them by ``Membership.rank_coordinators`` and asks them in this order.
"""

from __future__ import annotations
