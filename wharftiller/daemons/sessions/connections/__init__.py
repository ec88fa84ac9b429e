"""Connection pools, endpoint probes and relayed connections."""
