#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need; does nothing when all are there.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done <"$here/packages.txt"
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
sudo_command=""
[ "$(id -u)" -eq 0 ] || sudo_command="sudo"
$sudo_command apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo_command apt-get install -y -qq "${missing[@]}" >/dev/null
