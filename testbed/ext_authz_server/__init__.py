"""The authoriser that a gateway may ask."""
