#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// Names one waiting request.
using ticket_number = std::uint64_t;

/// What a request costs an engine.
struct request_cost {
    std::uint64_t prefill_tokens{};
    std::uint64_t decode_tokens{};

    /// Returns the tokens that it keeps in work.
    [[nodiscard]] std::uint64_t get_tokens() const noexcept { return prefill_tokens + decode_tokens; }
};

/// Gives organisations that wait their weighted shares of an engine's time, whatever each of them asks for.
///
/// Start-time fair queueing: each request gets a start tag, the virtual time at which its organisation's earlier work
/// would have been served at its share; the smallest goes first. Not thread safe.
class fair_queue {
public:
    /// `prefill_share`: the time that a prefill token takes an engine, relative to a decode token.
    explicit fair_queue(double prefill_share) noexcept : m_prefill_share(prefill_share) {}

    /// Preconditions: `weight` is not 0; `ticket` does not wait yet.
    void push(ticket_number ticket, const organisation_name& organisation, std::uint32_t weight, request_cost cost);

    /// Returns the request to be served next, or nothing; it stays in the queue.
    [[nodiscard]] std::optional<ticket_number> peek() const;

    /// Takes a request that is served out of the queue. Does nothing for one that does not wait.
    void serve(ticket_number ticket);
    /// Takes a request that gave up out of the queue; its organisation gets its turn back.
    void withdraw(ticket_number ticket);

    /// Returns the work, in decode tokens, that would be served before a new request of this organisation.
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
