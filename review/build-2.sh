# Builds what the scripts in review/6 and later start beside the entry processes: the
# project's stand-ins and the harness. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r standins/bulrushspur_standins target/review-2/
cp review/harness.py target/review-2/
python3 -m compileall -q target/review-2
