#!/bin/sh
# Builds the stand-ins. They are written in Python with its standard library alone, so there is
# nothing to compile: this checks that Python is new enough and that every file is sound.
cd "$(dirname "$0")" || exit 2
for python in python3 /usr/bin/python3 /usr/local/bin/python3; do
    if "$python" -c 'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; then
        for file in standins/*.py */case.py; do
            "$python" -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
        done
        exit 0
    fi
done
echo "Python 3.11 or newer is needed" >&2
exit 1
