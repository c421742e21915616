"""An authority that issues certificates by RFC 8555, for gateways to obtain theirs from, with faults to switch on."""
