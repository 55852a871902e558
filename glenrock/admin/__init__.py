"""Where operators call: one more address, over HTTP/1.1. Not imported where the configuration has no `admin`."""
