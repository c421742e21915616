"""Builds the components that ``[authz]`` and ``[authz_server]`` of the operator file switch on."""

from __future__ import annotations

from typing import cast

# Both first: the error for a missing extra then names the library, not a module of this package.
import google.protobuf  # noqa: F401
import grpc  # noqa: F401

from saffrongw.gateway.components import BuildContext, Component, ComponentError
from saffrongw.gateway.extensions import Service

from .attributes import ContextExtensionNames
from .component import AuthzComponent, names_of, tls_of
from .options import AuthzOptions, AuthzServerOptions
from .server import AuthzServer


def build_filter(options: AuthzOptions, context: BuildContext) -> Component:
    """The filter that checks each request with an external authorisation server."""
    authz = AuthzComponent(options, context.config)
    return Component(
        authz, filters=(authz.filter,), services=(authz.filter,), prepare=authz.prepare
    )


def build_server(options: AuthzServerOptions, context: BuildContext) -> Component:
    """The server that answers checks of other proxies; it changes at the next start."""
    if options.tls and not options.tls.cert:
        raise ComponentError("authz_server.tls: cert and key are needed")
    config = context.config
    server = AuthzServer(
        options.listen,
        names_of(config),
        ContextExtensionNames(options.customer, options.plan, options.class_),
        config.settings.node_count,
        config.max_units,
        options.in_flight,
        tls_of(options.tls),
    )
    # With a service switched on, the driver that it is started with is the filtering one.
    return Component(server, services=(cast("Service", server),))
