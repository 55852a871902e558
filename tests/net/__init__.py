"""Tests of `glenrock.net`: of the whole program with raw loopback sockets as its peers, and of single modules.

`LoopbackRig` has a clock that the test advances, `SingleServerRig` has the real clock, and `ExchangePlayer` plays
recorded exchanges. The fixtures `rig` and `single_server` give a test the first two. A test that is a coroutine
function runs on the event loop of its fixtures.
"""
