"""The node: one process per host that is both entry and scheduler."""

from hornbeampulley.node._adapters import Adapter, Identity
from hornbeampulley.node._node import Node
from hornbeampulley.node._settings import NodeSettings, read_node_settings
from hornbeampulley.node.program import run_node

__all__ = (
    'Adapter',
    'Identity',
    'Node',
    'NodeSettings',
    'read_node_settings',
    'run_node',
)
