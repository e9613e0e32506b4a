#!/usr/bin/env bash
# Writes variants of a site file beside its wire file: deployments of the kinds
# described that no given site has. Each can be run, scored and hunted.
# Usage: deploy/variants.sh SITE.toml FOLDER
set -euo pipefail
site=$1 out=$2
mkdir -p "$out"
cp "$(dirname "$site")/wire.json" "$out/"
name=$(sed -n 's/^name = "\(.*\)"/\1/p' "$site" | head -n 1)

# variant NAME 'sed expression'
variant() {
  sed "0,/^name = \"$name\"/s//name = \"$name-$1\"/; $2" "$site" >"$out/$name-$1.toml"
}

variant gangs 's/gang = 0\.0/gang = 0.3/'
variant far-data 's/near = 0\.0/near = 0.4/'
variant labels 's/needs = 0\.0/needs = 0.4/; s/kinds = \["a"\]/kinds = ["a", "b"]/'
variant timed 's/timed = 0\.0/timed = 0.3/'
variant unguarded 's/guards = true/guards = false/'
variant filling 's/filled = 0,/filled = 2,/'
variant all 's/gang = 0\.0/gang = 0.3/; s/near = 0\.0/near = 0.3/; s/timed = 0\.0/timed = 0.2/; s/guards = true/guards = false/'
