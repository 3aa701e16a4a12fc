#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/wagtailhoist ] || [ ! -x target/review2-standin ]; then
    echo "target/wagtailhoist or target/review2-standin is missing: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
exec target/review2-standin restart target/wagtailhoist review/8/record.txt
