"""`python -m teaselrock` runs the command line."""

from teaselrock.cli.main import main

raise SystemExit(main())
