"""Rate limits of workspaces: admit operations, grant tokens, lend between data centres."""
