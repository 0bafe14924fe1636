#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "policy/demand_report.hpp"

namespace dragonflywell::servers {

/// Counts what callers of this daemon ask for, refused requests included. Thread safe.
class demand_meter {
public:
    /// Counts one arrival that permits up to `max_tokens` of output. The output is estimated from earlier answers.
    void add_arrival(const policy::demand_key& key, std::uint64_t prompt_tokens, std::uint64_t max_tokens);

    /// Notes how much of the permitted output a whole answer had.
    void add_answer(const policy::demand_key& key, std::uint64_t tokens, std::uint64_t max_tokens);

    /// Requests asked for and completed, and tokens delivered, by organisation, since the last call.
    struct organisation_counts {
        std::uint64_t asked{};
        std::uint64_t completed{};
        std::uint64_t delivered_tokens{};
    };
    [[nodiscard]] std::map<organisation_name, organisation_counts> take_organisation_counts();

    /// Returns what came in since the last call, and starts anew.
    [[nodiscard]] std::vector<policy::demand_row> take();

private:
    struct entry {
        policy::demand_row row;
        /// Mean part of the permitted output that answers had.
        double output_part{0.5};
    };

    std::mutex m_mutex;
    std::map<policy::demand_key, entry> m_entries;
    std::map<organisation_name, organisation_counts> m_service;
};

} // namespace dragonflywell::servers
