#!/bin/sh
# Puts the daemon, compiled together with the methods that its classes get at a start, and the
# libraries that it needs into target/deps.  What is there already is kept if it fits the sources, the
# architecture and the Python.
set -eu
deps=target/deps
members="start timers wire http1 resources logservice membership rollouts"
members="$members callmodel routing admission handover quotas calls hosted"
sources=$(for name in $members; do echo "packages/$name/src"; done)
machine=$(python3 -c 'import sys, sysconfig
print(sysconfig.get_platform(), sysconfig.get_config_var("SOABI"), sys.version)')
stamp=$( (cat requirements/platform.txt deploy/build.sh; echo "$machine") | sha256sum | cut -d' ' -f1)
mkdir -p target
if [ "$(cat target/libraries 2>/dev/null || true)" != "$stamp" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --no-deps --target "$deps" \
        -r requirements/platform.txt
    echo "$stamp" > target/libraries
fi
rm -rf "$deps"/acaciayard_*
for source in $sources platform/src; do
    cp -R "$source"/acaciayard_* "$deps"/
done
rm -rf "$deps"/*.egg-info
python3 -m compileall -q -f "$deps"/acaciayard_*
PYTHONPATH="$deps" python3 -S -OO -m acaciayard_start --prepare acaciayard_platform
