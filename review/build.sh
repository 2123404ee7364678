# Builds target/review: the project's stand-ins of the store, which the scripts start
# beside the small ones in review/cell.py. Run it at the repository's root, after the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r standins/bulrushspur_standins review/cell.py target/review/
rm -rf target/review/bulrushspur_standins/__pycache__
PYTHONPATH=target/deps python3 -m compileall -q target/review
