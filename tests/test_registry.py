"""Tests of ``hornbeampulley.registry``."""

import pytest

from hornbeampulley.registry import Registry, UnknownNameError


def test_register_and_find():
    registry = Registry('colour')
    registry.register('red')(1)
    assert registry.find('red') == 1
    assert list(registry) == [('red', 1)]


def test_the_error_for_an_unknown_name_lists_the_known_names():
    registry = Registry('colour')
    registry.register('red')(1)
    with pytest.raises(UnknownNameError, match='red'):
        registry.find('blue')


def test_a_name_can_be_registered_only_once():
    registry = Registry('colour')
    registry.register('red')(1)
    with pytest.raises(ValueError, match='registered already'):
        registry.register('red')
