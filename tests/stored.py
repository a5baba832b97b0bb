"""Store items for tests: records of targets and their removals."""

import json

from hornbeampulley.node.stored import StoredItem

ENTRY = {
    'service': 'p',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 4,
    'state': 'ready',
    'born': 7,
}


def server(name, revision, **changes):
    """Make the record of a target."""
    content = json.dumps(ENTRY | changes).encode()
    return StoredItem(f'servers/{name}', content, revision)


def gone(name, revision):
    """Make the removal of a target's record."""
    return StoredItem(f'servers/{name}', b'', revision, is_deleted=True)
