"""The ``shallotroad`` command line for operators.

A gateway is the process ``shallotroad-gateway``, which forwards callers' requests to
endpoints directly. An entry (``shallotroad-entry``) forwards them to the agent
(``shallotroad-agent``) of an endpoint. ``settings check`` and ``trace`` are for
gateways, ``explain`` and ``fleet`` for entries; ``dump`` is for every process.
"""

from __future__ import annotations
