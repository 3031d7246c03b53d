"""Fleet membership of one router: views, failure detection, gossip and messages, without I/O."""
