#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/reviewstandin ] && [ -x target/greengageweir ] || exit 2
exec target/reviewstandin malformed "$here/record.txt"
