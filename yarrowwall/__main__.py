"""Run the command line with ``python -m yarrowwall``."""

from yarrowwall.cli.main import main

if __name__ == "__main__":
    main()
