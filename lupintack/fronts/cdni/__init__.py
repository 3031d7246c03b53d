"""CDNI interconnection: metadata (RFC 8006), triggers (RFC 8007) and redirection (RFC 7975).

docs/cdni.md lists the supported and unsupported features.
"""
