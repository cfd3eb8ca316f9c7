"""Lets `python -m acaciayard_cli` run the command line."""

from ._main import main

main(prog_name="acaciayard")
