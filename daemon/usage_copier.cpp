#include "daemon/usage_copier.hpp"

#include "coordination/usage_state.hpp"
#include "core/log_event.hpp"
#include "daemon/store_topics.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr int max_record_attempts = 10;

} // namespace

servers::asio::awaitable<void> usage_copier::record(std::string host, std::uint64_t incarnation,
                                                    std::map<std::int64_t, policy::window_counts> usage) {
    const std::string key = coordination::make_usage_copy_key(host, incarnation);
    coordination::usage_record record{.windows = {}, .closed = 0};
    for (auto& [window, counts] : usage) {
        record.windows.emplace(window, std::move(counts));
    }
    const std::string text = coordination::encode_usage_record(record);
    bool is_recorded = false;
    for (int attempt = 0; attempt < max_record_attempts && !is_recorded; ++attempt) {
        try {
            co_await m_store->append(topics::usage, key, text);
            is_recorded = true;
        } catch (const platform::store_unavailable_error& fault) {
            log_event("usage_copy_delayed")
                .add("host", host)
                .add("reason", fault.what())
                .write(*m_log, spdlog::level::warn);
        }
        if (!is_recorded) {
            co_await m_store->wait_until_call_allowed();
        }
    }
    log_event("usage_copied").add("host", host).add("recorded", is_recorded).write(*m_log, spdlog::level::info);
}

} // namespace dragonflywell::daemon
