"""Lets `python -m acaciayard_bench` run the tool."""

from ._main import main

main()
