"""The operators' HTTP address: its server, and the handlers that carry calls out."""
