"""The gateway's I/O: clients, driver, endpoints, discovery and gossip; the policy decides."""
