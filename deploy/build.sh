#!/bin/sh
# Builds target/release/tarragondoor-platform from the sources in this repository, or leaves no program there.
#
# Alone, `cargo build` leaves an earlier program in place if it fails, if the environment names another target folder,
# and if the sources are older than the earlier build: cargo compares times, not contents.
set -eu
cd "$(dirname "$0")/.."
program=target/release/tarragondoor-platform
# The digest of the sources that were built last.
digest_file=target/release/tarragondoor-platform.sources
digest=$(find Cargo.lock Cargo.toml platform/Cargo.toml platform/build.rs platform/src src -type f \
  -exec sha256sum {} + | LC_ALL=C sort | sha256sum)

# Whether the last build here was of these sources: no other one has written files since.
is_built() {
  [ "$(cat "$digest_file" 2>/dev/null)" = "$digest" ] &&
    [ -z "$(find target/release/deps -name '*tarragondoor*' -newer "$digest_file")" ]
}

# Would put the program into another folder.
unset CARGO_BUILD_TARGET
if ! is_built; then
  rm -f "$program" "$digest_file"
  cargo clean --release --locked --target-dir target -p tarragondoor -p tarragondoor-platform
fi
cargo build --release --locked --target-dir target -p tarragondoor-platform
if [ ! -x "$program" ]; then
  echo "deploy/build.sh: cargo has not written $program; does its configuration set build.target?" >&2
  exit 1
fi
printf '%s\n' "$digest" > "$digest_file"
