"""The control plane of an instance: replication, membership, leases, scheduling."""
