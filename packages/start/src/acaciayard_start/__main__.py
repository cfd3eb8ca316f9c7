"""`python3 -S -m acaciayard_start PACKAGE` runs `PACKAGE.main()`; `--prepare` writes its cache."""

from ._main import main

if __name__ == "__main__":
    main()
