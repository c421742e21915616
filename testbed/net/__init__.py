"""Stand-ins on sockets: clients, hosts, discovery, and the network between gateways and them."""
