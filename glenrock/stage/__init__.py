"""The stage: processes of the real program on loopback, stand-ins round them, faults between them, and a judge.

Page: docs/stage.md. Everything stays on 127.0.0.0/8, is bounded in time, and ends with the process that began it.
"""
