#pragma once

#include <string>
#include <vector>

#include "matrix_evidence.hpp"

namespace dragonflywell::testing {

/// The result of checking one run.
struct check_result {
    /// Names of the violated invariants.
    std::vector<std::string> broken;
    /// Receivers that got no order near the end of the run, because an old order may still arrive there.
    std::vector<std::string> blocked;
};

/// Checks the evidence of a run against the invariants. It uses the encoding of the records and none of the code under
/// test.
[[nodiscard]] check_result check_evidence(const matrix_evidence& evidence);

} // namespace dragonflywell::testing
