#!/usr/bin/env bash
# A core machine is replaced; then another one loses its disk.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../fleet-2.sh" replaced-core "$here/record.txt"
