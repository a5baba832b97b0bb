"""Tests of the block hashes that stand for the parts of a prompt."""

from hornbeampulley.decisions import Configure, Core, Lease, Outcome, Release
from hornbeampulley.node._prefixes import MAX_BLOCKS, make_block_hashes
from hornbeampulley.node.dialect import PromptPart, RequestMetadata
from tests.pools import build_configuration, make_reserve


def make_metadata(*parts, prompt_tokens=0, request_id=b'r'):
    return RequestMetadata(
        request_id,
        'h.example',
        parts=tuple(PromptPart(name, tokens) for name, tokens in parts),
        prompt_tokens=prompt_tokens or sum(tokens for _, tokens in parts),
    )


def test_prompts_share_the_blocks_of_the_parts_that_they_share():
    first = make_block_hashes(make_metadata((1, 60), (2, 6000)))
    second = make_block_hashes(make_metadata((1, 60), (3, 6000)))
    assert first[0] == second[0]
    assert len(first) == 1 + 12
    assert not set(first[1:]) & set(second[1:])


def test_tokens_beyond_the_parts_are_shared_with_nobody():
    first = make_metadata((1, 600), prompt_tokens=3000, request_id=b'a')
    second = make_metadata((1, 600), prompt_tokens=3000, request_id=b'b')
    shared = set(make_block_hashes(first)) & set(make_block_hashes(second))
    assert len(shared) == 2


def test_a_prompt_without_parts_has_no_blocks_and_a_long_one_not_too_many():
    assert make_block_hashes(make_metadata(prompt_tokens=900)) == ()
    long = make_metadata((1, 10**9))
    assert len(make_block_hashes(long)) == MAX_BLOCKS


# Pattern: the sessions of long prompts come back; read again on another
# target, each costs the whole prefill.
def test_a_session_goes_to_the_target_that_has_read_its_prompt():
    core = Core('pool', 1)
    core.handle(Configure(build_configuration(targets=4)), 0)
    homes = {}
    for turn in range(3):
        for session in range(8):
            hashes = make_block_hashes(make_metadata((7, 60), (session, 6000)))
            reserve = make_reserve(prompt_tokens=6060, block_hashes=hashes)
            now_ms = 1000.0 * (turn * 8 + session + 1)
            (lease,) = [
                action
                for action in core.handle(reserve, now_ms)
                if isinstance(action, Lease)
            ]
            assert homes.setdefault(session, lease.target) == lease.target
            first_ms = 20 if turn else 120
            done = Release(reserve.request_id, Outcome.DONE, 50, first_ms, 500)
            core.handle(done, now_ms + 500)
