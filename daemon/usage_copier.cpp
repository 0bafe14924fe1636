#include "daemon/usage_copier.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "coordination/usage_state.hpp"
#include "core/log_event.hpp"
#include "daemon/store_topics.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr int max_record_attempts = 10;
/// Largest number of copies that are written again when the store has lost its newest records.
constexpr std::size_t max_kept_copies = 32;

} // namespace

servers::asio::awaitable<void> usage_copier::record(std::string host, std::uint64_t incarnation,
                                                    std::map<std::int64_t, policy::window_counts> usage) {
    const std::string key = coordination::make_usage_copy_key(host, incarnation);
    coordination::usage_record record{.windows = {}, .closed = 0};
    for (auto& [window, counts] : usage) {
        record.windows.emplace(window, std::move(counts));
    }
    platform::keyed_value copy{.key = key, .value = coordination::encode_usage_record(record)};
    m_copies.push_back(copy);
    if (m_copies.size() > max_kept_copies) {
        m_copies.pop_front();
    }
    std::vector<platform::keyed_value> records;
    records.push_back(std::move(copy));
    const bool is_recorded = co_await write(std::move(records));
    log_event("usage_copied").add("host", host).add("recorded", is_recorded).write(*m_log, spdlog::level::info);
}

servers::asio::awaitable<bool> usage_copier::write(std::vector<platform::keyed_value> records) {
    for (int attempt = 0; attempt < max_record_attempts; ++attempt) {
        try {
            co_await m_store->append_all(topics::usage, records);
            co_return true;
        } catch (const platform::store_unavailable_error& fault) {
            log_event("usage_copy_delayed")
                .add("key", records.front().key)
                .add("copies", records.size())
                .add("reason", fault.what())
                .write(*m_log, spdlog::level::warn);
        }
        co_await m_store->wait_until_call_allowed();
    }
    co_return false;
}

void usage_copier::on_era_changed(std::uint64_t /*era*/) {
    if (!m_copies.empty()) {
        boost::asio::co_spawn(m_executor, write_again(), boost::asio::detached);
    }
}

servers::asio::awaitable<void> usage_copier::write_again() {
    const std::vector<platform::keyed_value> records(m_copies.begin(), m_copies.end());
    const bool is_recorded = co_await write(records);
    log_event("usage_copied_again")
        .add("copies", records.size())
        .add("recorded", is_recorded)
        .write(*m_log, spdlog::level::info);
}

} // namespace dragonflywell::daemon
