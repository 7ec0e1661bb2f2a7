#!/bin/sh
# Regenerates orioleplank/_protos from the .proto files; run from the root with grpcio-tools and mypy-protobuf.
set -eu
out=orioleplank/_protos
python -m grpc_tools.protoc -I protos --python_out="$out" --pyi_out="$out" --grpc_python_out="$out" protos/*.proto
sed -i -E 's/^import (orioleplank_[a-z]+_pb2)/from orioleplank._protos import \1/' "$out"/*_pb2.py "$out"/*_pb2_grpc.py "$out"/*_pb2.pyi
