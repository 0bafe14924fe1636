#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/order_dispatcher.hpp"
#include "coordination/usage.hpp"
#include "core/json.hpp"

namespace dragonflywell::testing {

/// In-memory receiver of usage reports that checks what it has received. It does not use the state of the code under
/// test.
class billing_checker final : public coordination::order_receiver {
public:
    coordination::order_reply send(const coordination::order& value, const coordination::fencing_token& token,
                                   duration) override {
        if (loses_next_report) {
            loses_next_report = false;
            return coordination::order_reply::unknown;
        }
        receive(value.idempotency_key, value.body, token.number);
        if (drops_next_answer) {
            drops_next_answer = false;
            return coordination::order_reply::unknown;
        }
        return coordination::order_reply::applied;
    }

    coordination::order_query_result query(const coordination::order& value) override {
        return m_first.contains(value.idempotency_key) ? coordination::order_query_result::applied
                                                       : coordination::order_query_result::not_seen;
    }

    void receive(const std::string& key, const boost::json::object& body, coordination::log_offset number) {
        const auto [position, is_new] = m_first.try_emplace(key, body);
        if (!is_new && position->second != body) {
            m_faults.push_back("repeated report with different figures: " + key);
        }
        if (is_new && number < m_newest_number) {
            m_faults.push_back("first report of a window came from a superseded reporter: " + key);
        }
        m_newest_number = std::max(m_newest_number, number);
    }

    /// Returns the errors in the reports, given the tokens that each organisation has really used.
    [[nodiscard]] std::vector<std::string> get_faults(const std::map<std::string, std::uint64_t>& used) const {
        std::vector<std::string> faults = m_faults;
        std::map<std::string, std::uint64_t> billed;
        for (const auto& [key, body] : m_first) {
            for (const boost::json::value& line : json::get_array(body, "lines")) {
                billed[json::get_string(line.as_object(), "organisation")] +=
                    json::get_unsigned(line.as_object(), "completion_tokens");
            }
        }
        if (billed != used) {
            faults.push_back("billed tokens differ from the used tokens");
        }
        return faults;
    }

    [[nodiscard]] const std::map<std::string, boost::json::object>& get_reports() const { return m_first; }

    bool loses_next_report{false};
    bool drops_next_answer{false};

private:
    std::map<std::string, boost::json::object> m_first;
    std::vector<std::string> m_faults;
    coordination::log_offset m_newest_number{0};
};

} // namespace dragonflywell::testing
