"""The client of the discovery service: endpoint list, purges and the proof that both are current."""
