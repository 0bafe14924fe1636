#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "policy/demand_report.hpp"

namespace dragonflywell::servers {

/// Counts the demand of the callers of this daemon, including refused requests. Thread safe.
class demand_meter {
public:
    /// Counts the arrival of a request that permits up to `max_tokens` output tokens. The actual output is estimated
    /// from earlier responses.
    void add_arrival(const policy::demand_key& key, std::uint64_t prompt_tokens, std::uint64_t max_tokens);

    /// Records how many of the permitted tokens a complete response used.
    void add_response(const policy::demand_key& key, std::uint64_t tokens, std::uint64_t max_tokens);

    /// Requests received and completed, and tokens delivered, for one organisation since the last call.
    struct organisation_counts {
        std::uint64_t asked{};
        std::uint64_t completed{};
        std::uint64_t delivered_tokens{};
    };
    [[nodiscard]] std::map<organisation_name, organisation_counts> take_organisation_counts();

    /// Returns the demand since the last call and resets the counts.
    [[nodiscard]] std::vector<policy::demand_row> take();

private:
    struct entry {
        policy::demand_row row;
        /// Moving average of the share of the permitted output that responses use.
        double output_share{0.5};
    };

    std::mutex m_mutex;
    std::map<policy::demand_key, entry> m_entries;
    std::map<organisation_name, organisation_counts> m_organisations;
};

} // namespace dragonflywell::servers
