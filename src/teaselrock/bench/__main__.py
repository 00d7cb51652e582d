"""Runs `teaselrock-bench` as `python -m teaselrock.bench`."""

from teaselrock.bench.main import main

raise SystemExit(main())
