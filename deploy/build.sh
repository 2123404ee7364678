# Builds target/deps: requirements and packages that an entry process needs, compiled.
# The touch at the end marks the time of the build: requirements are installed again
# only if requirements.txt is newer.
set -e
if [ ! target/deps -nt requirements.txt ]; then
    python3 -m pip install -q -U --disable-pip-version-check --target target/deps \
        -r requirements.txt
fi
rm -rf target/deps/bulrushspur_*
cp -r packages/kernel/bulrushspur_kernel packages/scheduler/bulrushspur_scheduler \
    packages/daemon/bulrushspur_daemon platform/bulrushspur_platform target/deps/
python3 -m compileall -q target/deps
touch target/deps
