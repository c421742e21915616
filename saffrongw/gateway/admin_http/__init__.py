"""The operators' HTTP address: its server, and the handlers of its calls."""
