"""What has no socket: the clock, arrivals, hosts and registry as models, scenarios as typed values."""
