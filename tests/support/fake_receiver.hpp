#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/order_dispatcher.hpp"

namespace dragonflywell::testing {

/// In-memory receiver of orders with faults that a test selects. Not thread safe.
class fake_receiver final : public coordination::order_receiver {
public:
    coordination::order_reply send(const coordination::order& value, const coordination::fencing_token& token,
                                   duration) override {
        if (loses_next_order) {
            loses_next_order = false;
            late.emplace_back(value, token);
            return coordination::order_reply::unknown;
        }
        const coordination::order_reply receipt = apply(value, token);
        if (drops_next_answer) {
            drops_next_answer = false;
            return coordination::order_reply::unknown;
        }
        return receipt;
    }

    coordination::order_query_result query(const coordination::order& value) override {
        if (!answers_queries) {
            return coordination::order_query_result::unknown;
        }
        return keys.contains(value.idempotency_key) ? coordination::order_query_result::applied
                                                    : coordination::order_query_result::not_seen;
    }

    /// Applies the delayed orders.
    void deliver_late() {
        for (const auto& [value, token] : std::exchange(late, {})) {
            apply(value, token);
        }
    }

    std::vector<std::string> applied;
    std::set<std::string> keys;
    std::vector<std::pair<coordination::order, coordination::fencing_token>> late;
    bool loses_next_order{false};
    bool drops_next_answer{false};
    bool answers_queries{true};

private:
    coordination::order_reply apply(const coordination::order& value, const coordination::fencing_token& token) {
        if (value.receiver == coordination::receiver_kind::checks_fencing && token.number < m_newest_number) {
            return coordination::order_reply::stale_fencing_number;
        }
        m_newest_number = std::max(m_newest_number, token.number);
        const bool is_new = keys.insert(value.idempotency_key).second;
        if (is_new || value.duplicates != coordination::duplicate_handling::deduplicated) {
            applied.push_back(value.idempotency_key);
        }
        return coordination::order_reply::applied;
    }

    coordination::log_offset m_newest_number{0};
};

/// Reports the hosts that a test names as terminated.
class fake_liveness final : public coordination::host_liveness {
public:
    [[nodiscard]] bool has_terminated(const coordination::writer_id& sender) const override {
        return gone.contains(sender.host);
    }

    std::set<std::string> gone;
};

} // namespace dragonflywell::testing
