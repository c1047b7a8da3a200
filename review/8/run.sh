#!/bin/sh
# exit 0: the rule held; 1: it was broken; 2: the case could not run
cd "$(dirname "$0")" && exec ../../.venv/bin/python play.py
