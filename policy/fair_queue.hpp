#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// Identifies one waiting request.
using ticket_number = std::uint64_t;

/// Work that a request causes on an engine.
struct request_cost {
    std::uint64_t prefill_tokens{};
    std::uint64_t decode_tokens{};

    /// Returns the tokens that the request occupies while it runs.
    [[nodiscard]] std::uint64_t get_tokens() const noexcept { return prefill_tokens + decode_tokens; }
};

/// Shares engine time between organisations by weight, however many requests each of them sends.
///
/// Implements start-time fair queueing: each request gets a start tag, the virtual time at which its organisation's
/// earlier requests would have been served at the organisation's share. The request with the smallest tag is served
/// first. Not thread safe.
class fair_queue {
public:
    /// `prefill_share`: time that an engine needs for a prefill token, relative to a decode token.
    explicit fair_queue(double prefill_share) noexcept : m_prefill_share(prefill_share) {}

    /// Adds a request. Preconditions: `weight` is not 0; `ticket` is not in the queue.
    void push(ticket_number ticket, const organisation_name& organisation, std::uint32_t weight, request_cost cost);

    /// Returns the request to serve next without removing it, or nothing if the queue is empty.
    [[nodiscard]] std::optional<ticket_number> peek() const;

    /// Removes a request that is served, and advances the virtual time. Does nothing if it is not in the queue.
    void serve(ticket_number ticket);
    /// Removes a request that is cancelled, and refunds its work to its organisation. Does nothing if it is not in the
    /// queue.
    void withdraw(ticket_number ticket);

    /// Returns the work that would be served before a new request of this organisation, in decode tokens.
    [[nodiscard]] double get_work_ahead(const organisation_name& organisation) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

private:
    struct waiting_request {
        organisation_name organisation;
        double start{};
        double work{};
        double span{};
    };

    void erase(ticket_number ticket);
    [[nodiscard]] double get_start(const organisation_name& organisation) const;

    double m_prefill_share;
    double m_virtual_time{0.0};
    std::map<organisation_name, double> m_finish;
    std::map<ticket_number, waiting_request> m_waiting;
    std::set<std::pair<double, ticket_number>> m_order;
};

} // namespace dragonflywell::policy
