#!/usr/bin/env bash
# Installs the Debian packages of packages.apt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing+=("$package")
done < packages.apt
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
