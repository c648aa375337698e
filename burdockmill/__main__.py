"""Run the command line as `python -m burdockmill`."""

from burdockmill.cli import main

if __name__ == "__main__":
    main()
