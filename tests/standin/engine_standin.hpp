#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "servers/http_handler.hpp"
#include "standin/engine_fault.hpp"

namespace dragonflywell::standin {

struct engine_standin_options {
    std::string model;
    std::string role{"mixed"};
    bool checks_fencing{false};
    /// Processing time of a prompt token and of a generated token while one request runs.
    std::chrono::microseconds prompt_token_time{20};
    std::chrono::microseconds generated_token_time{2000};
    /// Number of requests that run concurrently at full speed. With more requests all of them become slower.
    std::size_t full_speed_requests{16};
};

/// A stand-in for a model engine with continuous batching, a prompt cache, streaming, resumption, cancellation and
/// orders. Thread safe.
///
/// The generated text is a function of the prompt and the position, so that a caller can check that a response is
/// complete and belongs to its request.
class engine_standin final : public servers::http_handler {
public:
    explicit engine_standin(engine_standin_options options);

    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    /// Returns how many requests carried an Authorization header. The system must never send one to an engine.
    [[nodiscard]] std::uint64_t get_authorization_headers_seen() const noexcept { return m_keys_seen; }
    /// Closes the connection of the next response after this many tokens.
    void set_break_after(std::uint64_t tokens) {
        set_fault({.kind = engine_fault_kind::disconnect, .after_tokens = tokens});
    }
    /// Sets the fault of the next responses.
    void set_fault(const engine_fault& fault);
    /// Sets the function that closes the engine's listener in a crash. It must be set before the engine is used. From
    /// the crash on the engine answers no request, not even one on a connection that was accepted before the listener
    /// closed.
    void set_on_crash(std::function<void()> on_death) { m_on_crash = std::move(on_death); }
    /// Returns how many requests are running.
    [[nodiscard]] std::uint64_t get_running() const noexcept { return m_running; }
    /// Returns how many requests were started, without resumptions.
    [[nodiscard]] std::uint64_t get_starts() const noexcept { return m_starts; }
    /// Returns how many streams were resumed.
    [[nodiscard]] std::uint64_t get_resumptions() const noexcept { return m_resumptions; }
    /// Returns how many streams were cancelled.
    [[nodiscard]] std::size_t get_cancelled();

private:
    /// Data from which a stream can be resumed.
    struct known_stream {
        std::string prompt;
        bool is_chat{};
        std::uint64_t max_tokens{};
    };

    servers::asio::awaitable<void> complete(const servers::http_request& request, servers::caller_channel& caller);
    servers::asio::awaitable<void> resume(const std::string& target, servers::caller_channel& caller);
    servers::asio::awaitable<void> generate(const std::string& id, known_stream stream, std::uint64_t first,
                                            engine_fault fault, servers::caller_channel& caller);
    [[nodiscard]] servers::asio::awaitable<void> crash();
    [[nodiscard]] engine_fault take_fault();
    void cancel(const std::string& id);
    [[nodiscard]] servers::http_response handle_order(const std::string& body);
    [[nodiscard]] servers::http_response report_load();
    [[nodiscard]] bool is_cached(const std::string& prompt);
    [[nodiscard]] std::chrono::microseconds scale_by_load(std::chrono::microseconds time) const;

    engine_standin_options m_options;
    std::atomic<bool> m_has_crashed{false};
    std::atomic<std::uint64_t> m_running{0};
    std::atomic<std::uint64_t> m_keys_seen{0};
    std::atomic<std::uint64_t> m_starts{0};
    std::atomic<std::uint64_t> m_resumptions{0};
    std::mutex m_mutex;
    std::string m_role;
    std::uint64_t m_newest_fence{0};
    std::map<std::string, std::string> m_applied_orders;
    std::set<std::string> m_cached_prompts;
    std::set<std::string> m_cancelled;
    std::map<std::string, known_stream> m_streams;
    engine_fault m_fault{.count = 0};
    std::function<void()> m_on_crash;
};

/// Returns the text that the engine generates for a prompt at a position.
[[nodiscard]] std::string get_generated_text(const std::string& prompt, std::uint64_t position);

} // namespace dragonflywell::standin
