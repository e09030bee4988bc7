"""Promotion: replacing the leader of a group by one of its replicas."""
