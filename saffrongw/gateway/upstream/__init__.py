"""The endpoints' side: connections, pools of them, and the cluster of all endpoints."""
