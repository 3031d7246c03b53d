"""CDNI interconnection: metadata (RFC 8006), triggers (RFC 8007) and redirection (RFC 7975).

docs/cdni.md says what is supported and what is left out.
"""
