"""A test authorisation server that implements Envoy's external authorization service."""
