"""Where the list of members, purges and configuration come from."""
