"""Builds the components that ``[authz]`` and ``[authz_server]`` of the operator file switch on."""

from __future__ import annotations

from typing import cast

# Imported first: the error for a missing extra then names the library, not a module of this
# package.
import google.protobuf  # noqa: F401
import grpc  # noqa: F401

from saffrongw.gateway.components import BuildContext, Component, ComponentError
from saffrongw.gateway.extensions import Service

from .attributes import ContextExtensionNames
from .component import AuthzComponent, request_names, tls_files
from .options import AuthzOptions, AuthzServerOptions
from .server import AuthzServer


def build_filter(options: AuthzOptions, context: BuildContext) -> Component:
    """Build the filter that checks each request with an external authorisation server."""
    authz = AuthzComponent(options, context.config)
    return Component(
        authz, filters=(authz.filter,), services=(authz.filter,), prepare=authz.prepare
    )


def build_server(options: AuthzServerOptions, context: BuildContext) -> Component:
    """Build the server that answers checks of other proxies.

    Changes of its table take effect at the next start.
    """
    if options.tls and not options.tls.cert:
        raise ComponentError("authz_server.tls: cert and key are needed")
    config = context.config
    server = AuthzServer(
        options.listen,
        request_names(config),
        ContextExtensionNames(options.customer, options.plan, options.class_),
        config.settings.node_count,
        config.max_units,
        options.in_flight,
        tls_files(options.tls),
    )
    # A gateway with a service runs a FilteringDriver, which this service requires.
    return Component(server, services=(cast("Service", server),), listeners=(server,))
