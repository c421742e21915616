"""Stand-ins for clients, hosts, discovery and the platform, for the cases of the review."""
