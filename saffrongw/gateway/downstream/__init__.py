"""The client side: listening sockets, client connections, idle eviction and graceful shutdown."""
