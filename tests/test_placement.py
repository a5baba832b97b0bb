"""Tests of the prefix index."""

import pytest

from hornbeampulley.decisions import CacheEvent
from hornbeampulley.decisions._placement import REUSE_DECAY_MS, PrefixIndex

BLOCKS = tuple(range(1, 9))


def build_index(capacity=100):
    index = PrefixIndex()
    for name in ('one', 'two'):
        index.add_target(name, capacity)
    index.insert('one', BLOCKS, 0)
    index.insert('two', BLOCKS[:4], 0)
    return index


def test_target_with_the_longest_prefix_is_listed_first():
    index = build_index()
    match = index.match((*BLOCKS, 99))
    assert index.list_holders(match)[0] == 'one'
    assert index.estimate_cached_blocks('one', match) == 8
    assert index.estimate_cached_blocks('two', match) == 4
    assert not index.list_holders(index.match((99, *BLOCKS)))


def test_least_recently_used_tail_is_evicted():
    index = build_index(capacity=8)
    index.insert('one', (20, 21), 10)
    assert index.estimate_cached_blocks('one', index.match(BLOCKS)) == 6
    assert index.estimate_evictions('two', 2, 10) == 0


def test_delayed_removal_keeps_a_recently_used_block():
    index = build_index()
    index.insert('one', BLOCKS, 9000)
    index.apply_event(CacheEvent('one', 1, removed=BLOCKS), 10000)
    assert index.estimate_cached_blocks('one', index.match(BLOCKS)) == 8
    index.apply_event(CacheEvent('two', 1, removed=BLOCKS[2:]), 10000)
    assert index.estimate_cached_blocks('two', index.match(BLOCKS)) == 2


def test_sequence_gap_lowers_trust_and_cache_hits_restore_it():
    index = build_index()
    match = index.match(BLOCKS)
    index.apply_event(CacheEvent('one', 1), 0)
    index.apply_event(CacheEvent('one', 5), 0)
    index.apply_event(CacheEvent('one', 2, removed=BLOCKS), 90000)
    lowered = index.estimate_cached_blocks('one', match)
    assert lowered < 8
    index.update_trust('one', 1000, 1500)
    assert index.estimate_cached_blocks('one', match) > lowered


def test_removed_target_is_no_longer_listed():
    index = build_index()
    index.remove_target('one')
    index.add_target('three', 100)
    assert index.list_holders(index.match(BLOCKS)) == ['two']


def test_eviction_estimate_depends_on_prompt_reuse():
    index = build_index(capacity=8)
    assert index.estimate_evictions('one', 4, 0) == 0
    for _ in range(200):
        index.record_reuse(index.match(BLOCKS))
    assert index.estimate_evictions('one', 4, 0) == pytest.approx(4, rel=0.1)
    assert index.estimate_evictions('one', 4, 6 * REUSE_DECAY_MS) < 0.1
