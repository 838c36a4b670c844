#!/bin/bash
# The stand-ins need nothing but Python's standard library. This checks that they load.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
for module in case deployment http record runner store waiting; do
    PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.kit.$module" || exit 1
done
