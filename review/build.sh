#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/. Needs only g++.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++17 -O2 -Wall -Wextra -pthread standins/*.cc -o bin/standins
