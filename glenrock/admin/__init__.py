"""Operators' calls over HTTP/1.1, on an address of their own. Imported only if `admin` is configured."""
