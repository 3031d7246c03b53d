"""Communication with members: an actor for each member, its connections, and the wire protocol."""
