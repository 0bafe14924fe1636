#pragma once

#include <optional>
#include <set>
#include <vector>

#include "policy/engine_placement.hpp"
#include "servers/event_splitter.hpp"
#include "servers/serving_request.hpp"

namespace dragonflywell::servers {

/// A request to a model: one engine reads the prompt, another generates from it, and the stream is passed on event by
/// event. Used by one coroutine.
class generation_request final : public serving_request {
public:
    generation_request(serving_state& state, accepted_request request, request_record& record);

    asio::awaitable<void> run(caller_channel& caller) override;

private:
    /// How a try to generate ended.
    enum class generate_result : std::uint8_t { done, try_again };

    [[nodiscard]] policy::engine_choice choose_engines();
    [[nodiscard]] backend_server_name choose_decode_engine(const policy::engine_choice& choice);
    [[nodiscard]] policy::engine_status_lookup make_judge() const;
    [[nodiscard]] policy::engine_status judge(const backend_server_name& engine) const;
    [[nodiscard]] const group_summary& get_far_summary(const backend_server_name& engine) const;
    [[nodiscard]] policy::generation_requirements get_requirements() const;
    /// Returns how long the first event should take once the generation was sent. `is_read`: its prompt is.
    [[nodiscard]] duration get_first_event_time(bool is_read) const;

    /// Has the prompt read; returns nothing when another engine is to be tried.
    asio::awaitable<std::optional<kv_cache_source>> run_prefill(const policy::engine_choice& choice,
                                                                caller_channel& caller);
    asio::awaitable<generate_result> generate(const backend_server_name& engine, std::optional<kv_cache_source> memory,
                                              caller_channel& caller);
    /// `unanswered` ends with the first event.
    asio::awaitable<void> relay(backend_exchange& exchange, caller_channel& caller,
                                policy::stall_detector::pending_request& unanswered);
    asio::awaitable<void> relay_plain(backend_exchange& exchange, caller_channel& caller);
    asio::awaitable<void> relay_stream(backend_exchange& exchange, caller_channel& caller,
                                       policy::stall_detector::pending_request& unanswered);
    asio::awaitable<void> start_stream(const backend_exchange& exchange, caller_channel& caller);
    void on_broken(const backend_server_name& engine, const exchange_failed_error& failure, bool was_sent);
    void require_repeat_of_read();

    std::vector<policy::prefix_block> m_parts;
    std::uint64_t m_needed_tokens{0};
    /// Other groups of hosts, as known when the request came.
    std::map<std::string, peer_state::remote_group> m_far_groups;
    std::set<backend_server_name> m_avoided;
    event_splitter m_events;
    std::uint64_t m_number{0};
    /// By which this request is told apart from those of all hosts.
    std::uint64_t m_seed{0};
    std::uint32_t m_urgency{policy::lowest_urgency};
    /// Engines on which the generation may have run.
    std::uint32_t m_runs{0};
    bool m_was_read_once{false};
    bool m_was_sent{false};
    steady_time m_generation_sent_at{};
};

} // namespace dragonflywell::servers
