"""Tests of the filters that find route and workspace, without network."""

import json
import types

import pytest

from hornbeampulley.clock import ManualClock
from hornbeampulley.http1 import Request
from hornbeampulley.node._calls import Call, CallError
from hornbeampulley.node._filters import find_route, find_workspace
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node.dialect import RequestMetadata
from hornbeampulley.node.stored import StoredItem
from hornbeampulley.platform._documents import PlatformDecoder
from tests.nodes import make_config
from tests.stored import at


def make_home(age_ms):
    """Make a home whose view of the store is of some age."""
    clock = ManualClock(100_000)
    view = StoreView(PlatformDecoder(), clock)
    document = json.dumps(make_config()).encode()
    view.apply_items([StoredItem('op/config', document, at(2))], 'store')
    view.freshness.confirm(clock.now() - age_ms)
    return types.SimpleNamespace(store_view=view, clock=clock)


def get_refusal(mock_run, age_ms, path):
    """Send a request with an unknown key and return the status."""
    home = make_home(age_ms)
    metadata = RequestMetadata(b'r1', 'h.example', b'unknown')
    call = Call(Request(b'GET', path), metadata, None, home.clock.now())
    call.table = home.store_view.table

    async def main():
        await find_route(home, call)
        await find_workspace(home, call)

    with pytest.raises(CallError) as caught:
        mock_run(main)
    return caught.value.status


@pytest.mark.parametrize(
    ('path', 'status'), [(b'/none/a', 404), (b'/look/a', 401)]
)
def test_an_unknown_route_or_key_is_told(mock_run, path, status):
    assert get_refusal(mock_run, 0, path) == status


# DENIED: hosts that had not heard from the store for seconds denied routes and
# keys that had been added meanwhile.
@pytest.mark.parametrize('path', [b'/none/a', b'/look/a'])
def test_a_host_with_an_old_view_denies_nothing(mock_run, path):
    assert get_refusal(mock_run, 10_000, path) == 503
