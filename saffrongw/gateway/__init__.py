"""The core on sockets: clients, driver, endpoints, discovery and gossip. It decides nothing."""
