"""The node's states, the operators' bans, and the two processes of an upgrade: pure but for `folder`."""
