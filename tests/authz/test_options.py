"""The options that the package reads are keys of the operator file's tables, of the same types."""

from __future__ import annotations

import dataclasses
import typing

import pytest

from saffrongw.authz import options
from saffrongw.operator import file

PAIRS = {
    options.TlsOptions: file.TlsTable,
    options.FailOptions: file.FailTable,
    options.NarrowOptions: file.NarrowTable,
    options.BreakerOptions: file.BreakerTable,
    options.AuthzOptions: file.AuthzTable,
    options.AuthzServerOptions: file.AuthzServerTable,
}


def as_table(hint: object) -> object:
    """A type of an option with each protocol replaced by its table."""
    if arguments := typing.get_args(hint):
        replaced = tuple(as_table(argument) for argument in arguments)
        origin = typing.get_origin(hint)
        return tuple[replaced] if origin is tuple else typing.Union[replaced]  # noqa: UP007
    return PAIRS.get(hint, hint)


@pytest.mark.parametrize("protocol", PAIRS, ids=lambda protocol: protocol.__name__)
def test_every_option_is_a_key_of_its_table_and_the_other_way_round(protocol):
    table = PAIRS[protocol]
    keys = typing.get_type_hints(table)
    assert {f.name for f in dataclasses.fields(table)} == keys.keys()
    wanted = {name: as_table(hint) for name, hint in typing.get_type_hints(protocol).items()}
    assert wanted == keys
