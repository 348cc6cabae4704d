"""The control engine: replicated state, leases, failover and distribution."""
