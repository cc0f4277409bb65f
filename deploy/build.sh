#!/bin/sh
# Builds target/release/tarragondoor-platform from the sources in this repository, or leaves no program there.
#
# Alone, `cargo build` leaves an earlier program in place if it fails, if the environment names another target folder,
# and if the sources are older than the earlier build: cargo compares times, not contents.
set -eu
cd "$(dirname "$0")/.."
program=target/release/tarragondoor-platform
# The digests of the sources of the last build here, and of what it wrote.
record=target/release/tarragondoor-platform.built

# Compares contents, since a file that is overwritten within a tick of the clock keeps its time.
digest() {
  find "$@" -type f -exec sha256sum {} + | LC_ALL=C sort | sha256sum
}
sources=$(digest Cargo.lock Cargo.toml platform/Cargo.toml platform/build.rs platform/src src)
built_state() {
  echo "$sources" "$(digest "$program" target/release/deps -name '*tarragondoor*')"
}

# Would put the program into another folder.
unset CARGO_BUILD_TARGET
if [ ! -f "$record" ] || [ "$(cat "$record")" != "$(built_state)" ]; then
  rm -f "$program" "$record"
  cargo clean --release --locked --target-dir target -p tarragondoor -p tarragondoor-platform
fi
cargo build --release --locked --target-dir target -p tarragondoor-platform
if [ ! -x "$program" ]; then
  echo "deploy/build.sh: cargo has not written $program; does its configuration set build.target?" >&2
  exit 1
fi
built_state > "$record"
