"""The upstream side: connections to endpoints, their pools, and the cluster of all endpoints."""
