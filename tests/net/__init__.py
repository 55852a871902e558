"""Tests of `glenrock.net`: a whole program among raw sockets on loopback, and its parts alone.

`LoopbackRig` has a clock that the test sets, `SingleServerRig` has the real clock, and `ExchangePlayer` plays recorded
exchanges. The fixtures `rig` and `single_server` give a test the first two. A test that is a coroutine function runs on
the event loop of its fixtures.
"""
