#pragma once

#include <string>
#include <vector>

#include "matrix_evidence.hpp"

namespace dragonflywell::testing {

/// What the checker concluded from one run.
struct matrix_verdict {
    /// Invariants that were broken, each by name.
    std::vector<std::string> broken;
    /// Receivers that got no order near the end of the run, since an old one may still arrive there.
    std::vector<std::string> held;
};

/// Checks the evidence of a run against the invariants. It knows the form of the records and nothing of the code.
[[nodiscard]] matrix_verdict check_evidence(const matrix_evidence& evidence);

} // namespace dragonflywell::testing
