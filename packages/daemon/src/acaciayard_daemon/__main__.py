"""Lets `python -m acaciayard_daemon` run the daemon."""

from ._main import main

main()
