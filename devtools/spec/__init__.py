"""Small specifications of the protocol, explored exhaustively by a model checker.

``python -m devtools.spec.check`` checks them.
"""

from __future__ import annotations
