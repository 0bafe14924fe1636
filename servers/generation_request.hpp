#pragma once

#include <optional>
#include <vector>

#include "policy/engine_placement.hpp"
#include "servers/engine_load_guards.hpp"
#include "servers/engine_speeds.hpp"
#include "servers/engine_status_view.hpp"
#include "servers/event_splitter.hpp"
#include "servers/serving_request.hpp"

namespace dragonflywell::servers {

/// A request to a model. One engine prefills the prompt, another generates from its KV cache, and the event stream is
/// relayed to the caller. Used by one coroutine.
class generation_request final : public serving_request {
public:
    generation_request(serving_state& state, accepted_request request, request_record& record);

    asio::awaitable<void> run(caller_channel& caller) override;

private:
    /// Result of one attempt to generate.
    enum class generate_result : std::uint8_t { done, try_again };

    [[nodiscard]] policy::engine_choice choose_engines();
    [[nodiscard]] backend_server_name choose_decode_engine(const policy::engine_choice& choice);
    [[nodiscard]] policy::generation_requirements get_requirements() const;
    /// Returns the expected time from sending the generation to its first event. `is_prefilled` says whether the prompt
    /// is already prefilled.
    [[nodiscard]] duration get_first_event_time(bool is_prefilled) const;

    /// An engine, and the permit to send it one request.
    struct permitted_engine {
        backend_server_name engine;
        send_permit permit;
    };

    /// Takes a permit for an engine. Excludes the engine if its limit leaves no room.
    asio::awaitable<std::optional<send_permit>> acquire_engine(backend_server_name engine);
    /// Returns the engine that generates. Returns nothing when engines are to be chosen again. Throws
    /// `request_refused`, and releases the KV cache before.
    asio::awaitable<std::optional<permitted_engine>> take_decode_engine(const policy::engine_choice& choice,
                                                                        std::optional<kv_cache_source> kv_cache);
    /// Runs the prefill on the chosen engine. Returns nothing when another engine is to be tried.
    asio::awaitable<std::optional<kv_cache_source>> run_prefill(const policy::engine_choice& choice, send_permit permit,
                                                                caller_channel& caller);
    /// Without `kv_cache`, the engine runs the prefill itself.
    asio::awaitable<generate_result> generate(const backend_server_name& engine, const policy::engine_choice& choice,
                                              std::optional<kv_cache_source> kv_cache, send_permit permit,
                                              caller_channel& caller);
    /// Counts the prefill in the load of the decode engine if no prefill engine was chosen.
    void begin_direct_prefill(const backend_server_name& engine, const policy::engine_choice& choice);
    /// Records how long the engine, of the given speed, took to the first event, and ends the prefill that it ran
    /// itself.
    void record_first_event(const policy::engine_choice& choice, double speed);
    /// Throws `request_refused` when the caller is expected to leave before the first event.
    void reject_if_hopeless(const policy::engine_choice& choice) const;
    /// Returns the address of the engine from which the prefix is fetched, or nothing.
    [[nodiscard]] std::optional<endpoint> get_prefix_source(const policy::engine_choice& choice) const;
    /// What follows a generation while its stream is relayed.
    struct stream_observers {
        /// Ends at the first event.
        policy::stall_detector::pending_request& pending;
        engine_observation& observation;
        tracked_exchange& tracked;
    };

    asio::awaitable<void> relay(backend_exchange& exchange, const policy::engine_choice& choice, caller_channel& caller,
                                stream_observers observers);
    asio::awaitable<void> relay_buffered(backend_exchange& exchange, caller_channel& caller);
    asio::awaitable<void> relay_stream(backend_exchange& exchange, const policy::engine_choice& choice,
                                       caller_channel& caller, stream_observers observers);
    /// Throws `exchange_failed_error` when a response that should continue the stream of the caller is of another type.
    void require_same_content_type(const backend_exchange& exchange) const;
    asio::awaitable<void> start_stream(const backend_exchange& exchange, caller_channel& caller);
    void handle_failure(const backend_server_name& engine, const exchange_failed_error& failure,
                        tracked_exchange& tracked, bool was_sent);
    void require_prefill_retry_budget();

    std::uint64_t m_request_number;
    engine_status_view m_engine_status;
    std::vector<policy::prefix_block> m_parts;
    std::uint64_t m_needed_tokens{0};
    event_splitter m_events;
    /// Content type of the stream that the caller receives; empty before it has begun.
    std::string m_content_type;
    /// Distinguishes this request from the requests of all hosts.
    std::uint64_t m_seed{0};
    /// Number of engines on which the generation may have run.
    std::uint32_t m_run_count{0};
    bool m_was_prefill_sent{false};
    bool m_was_generation_sent{false};
    steady_time m_generation_sent_at{};
    /// The prefill that the decode engine runs itself, until the first event.
    std::optional<prefill_guard> m_direct_prefill;
};

} // namespace dragonflywell::servers
