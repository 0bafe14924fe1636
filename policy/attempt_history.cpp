#include "policy/attempt_history.hpp"

namespace dragonflywell::policy {

void attempt_history::add_failure(const backend_server_name& server, bool was_written) {
    ++m_failures;
    m_was_written = m_was_written || was_written;
    m_tried.insert(server);
}

bool attempt_history::may_retry(unsigned max_attempts) const noexcept {
    if (m_was_written && !m_is_repeatable) {
        return false;
    }
    return m_failures < max_attempts;
}

request_outcome attempt_history::get_outcome() const noexcept {
    if (!m_was_written) {
        return request_outcome::not_run;
    }
    return m_is_repeatable ? request_outcome::failed_after_start : request_outcome::unknown;
}

} // namespace dragonflywell::policy
