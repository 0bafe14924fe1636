#pragma once

namespace dragonflywell::daemon {

/// Returns whether the environment variable `HOST_LEARN_SERVER_SPEEDS` lets hosts place requests by the speeds that
/// they have learned; false if it is missing or empty. Throws `invalid_input_error` for another value than `true` and
/// `false`.
[[nodiscard]] bool read_speed_learning_from_environment();

} // namespace dragonflywell::daemon
