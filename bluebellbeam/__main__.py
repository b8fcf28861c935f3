"""Entry point of ``python -m bluebellbeam``."""

from bluebellbeam.cli.main import main

if __name__ == "__main__":
    main()
