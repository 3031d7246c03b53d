"""Process phases, operators' bans and the peers of an upgrade. Only `folder` does I/O."""
