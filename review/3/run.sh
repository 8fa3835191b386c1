#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
export RUN
[ -x "${RUN%% *}" ] || sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)" || exit 2
sh review/build.sh || exit 2
exec review/bin/unfenced "$here/record.txt"
