#!/usr/bin/env bash
# Regenerates postvalve/messages/generated from proto/. Needed only after a change of proto/;
# the generated code is committed, so a build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m venv .venv-generator
.venv-generator/bin/pip install --quiet 'betterproto[compiler]==1.2.5' 'grpcio-tools==1.85.1'
.venv-generator/bin/python -m grpc_tools.protoc -I proto \
  --plugin=protoc-gen-python_betterproto=.venv-generator/bin/protoc-gen-python_betterproto \
  --python_betterproto_out=postvalve/messages/generated proto/*.proto
