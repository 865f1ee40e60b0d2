#!/usr/bin/env bash
echo "demo: not built yet"; exit 1
