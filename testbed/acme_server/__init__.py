"""A test ACME server (RFC 8555) with configurable faults, from which gateways obtain certificates."""
