#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "soak/child_process.hpp"
#include "standin/raw_server.hpp"
#include "standin/store_standin.hpp"
#include "support/running_standin.hpp"

namespace dragonflywell::testing {

/// A daemon in a process of its own, with a store, an instance of a plain service and two engines in a thread of this
/// process. Routes: /safe/ leads to the plain service, /gen/ to the engines. The key is "secret".
class crowd_host {
public:
    /// Returns once the daemon answers on its readiness address. `environment` is set in the daemon only.
    explicit crowd_host(const std::map<std::string, std::string>& environment);
    crowd_host(const crowd_host&) = delete;
    crowd_host& operator=(const crowd_host&) = delete;
    crowd_host(crowd_host&&) = delete;
    crowd_host& operator=(crowd_host&&) = delete;
    ~crowd_host();

    [[nodiscard]] const endpoint& get_callers() const noexcept { return m_callers; }
    [[nodiscard]] const endpoint& get_ready() const noexcept { return m_ready; }
    [[nodiscard]] bool is_running() { return m_process->is_running(); }
    /// Returns the largest resident memory that the daemon has had, in kilobytes.
    [[nodiscard]] std::size_t get_peak_memory_kb() const;
    /// Returns once the memory of the daemon has stopped growing, since it still reads what callers have sent before.
    void wait_until_quiet() const;
    [[nodiscard]] std::size_t get_open_descriptors() const;
    /// Sends an ordinary request of the plain service on a new connection and returns the status, 0 for no response.
    [[nodiscard]] unsigned ask(const std::string& body) const;
    /// Returns the status of the readiness address.
    [[nodiscard]] unsigned ask_ready() const;
    /// Returns what the metrics address says.
    [[nodiscard]] std::string get_metrics() const;

private:
    /// Runs an event loop from `start` until its destruction.
    class loop_thread {
    public:
        explicit loop_thread(boost::asio::io_context& loop) : m_loop(&loop) {}
        loop_thread(const loop_thread&) = delete;
        loop_thread& operator=(const loop_thread&) = delete;
        loop_thread(loop_thread&&) = delete;
        loop_thread& operator=(loop_thread&&) = delete;
        ~loop_thread() {
            m_loop->stop();
            if (m_thread.joinable()) {
                m_thread.join();
            }
        }

        void start() {
            m_thread = std::thread([this] { m_loop->run(); });
        }

    private:
        boost::asio::io_context* m_loop;
        std::thread m_thread;
    };

    void add_server(const std::string& name, const std::string& service, const endpoint& address,
                    const std::string& stage);
    void write_settings(const std::string& path);

    boost::asio::io_context m_backend_loop{1};
    endpoint m_callers;
    endpoint m_ready;
    endpoint m_metrics;
    std::string m_folder;
    running_standin<standin::store_standin> m_store;
    standin::raw_server m_instance;
    standin::raw_server m_prefill_engine;
    standin::raw_server m_decode_engine;
    loop_thread m_backend_thread{m_backend_loop};
    std::unique_ptr<soak::child_process> m_process;
};

/// Sends one request on a new connection, waits for the response for a few seconds at most, and returns its status and
/// body. The status is 0 when there is no response.
[[nodiscard]] std::pair<unsigned, std::string> ask_address(const endpoint& address, servers::http_request request);

} // namespace dragonflywell::testing
