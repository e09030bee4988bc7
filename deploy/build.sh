#!/bin/sh
# Installs the pinned libraries, the product's own packages and the entry point.
set -eu
deps=target/deps
# Installs the libraries only if their list has changed since the last build.
if ! [ "$deps/.installed" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    # Hosts load modules without docstrings.  They can't write the compiled files, and
    # the files count as current however they are copied.
    python3 -OO -m compileall -q --invalidation-mode unchecked-hash "$deps"
    touch "$deps/.installed"
fi
for package in core:fennelhill_core d:fennelhilld; do
    name=${package#*:}
    case $name in
        fennelhill_core) folder=fennelhill-core ;;
        *) folder=$name ;;
    esac
    rm -rf "${deps:?}/$name"
    cp -r "packages/$folder/src/$name" "$deps/$name"
done
rm -rf target/app
cp -r platform target/app
python3 -OO -m compileall -q --invalidation-mode unchecked-hash \
    "$deps/fennelhill_core" "$deps/fennelhilld" target/app
