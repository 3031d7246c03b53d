"""The core: requests owed, attempts, the module's actor. It knows no wire."""
