"""The protocols of the package's options match the operator file's tables in keys and types."""

from __future__ import annotations

import dataclasses
import typing

import pytest

from saffrongw.authz import options
from saffrongw.operator import file

TABLES_BY_PROTOCOL = {
    options.TlsOptions: file.TlsTable,
    options.FailOptions: file.FailTable,
    options.NarrowOptions: file.NarrowTable,
    options.BreakerOptions: file.BreakerTable,
    options.AuthzOptions: file.AuthzTable,
    options.AuthzServerOptions: file.AuthzServerTable,
}


def as_table(hint: object) -> object:
    """Return the type of an option with each protocol replaced by its table."""
    if arguments := typing.get_args(hint):
        replaced = tuple(as_table(argument) for argument in arguments)
        origin = typing.get_origin(hint)
        return tuple[replaced] if origin is tuple else typing.Union[replaced]  # noqa: UP007
    return TABLES_BY_PROTOCOL.get(hint, hint)


@pytest.mark.parametrize("protocol", TABLES_BY_PROTOCOL, ids=lambda protocol: protocol.__name__)
def test_a_protocol_and_its_table_have_the_same_keys_and_types(protocol):
    table = TABLES_BY_PROTOCOL[protocol]
    keys = typing.get_type_hints(table)
    assert {f.name for f in dataclasses.fields(table)} == keys.keys()
    options_by_name = {
        name: as_table(hint) for name, hint in typing.get_type_hints(protocol).items()
    }
    assert options_by_name == keys
