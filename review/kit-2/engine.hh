// A stand-in of a model replica: prefill and decode, orders that change its stage, crashes.
#pragma once

#include "kit.hh"

namespace kit {

class engine {
public:
    struct options {
        /// How long a request waits for its first token.
        double first_token_seconds{0.02};
        bool is_prefill{false};
    };

    engine(store& registry, int number, options initial)
        : m_registry(&registry), m_number(number), m_options(initial), m_is_prefill(initial.is_prefill),
          m_listener("127.0.0.1", [this](peer_link& peer) { serve(peer); }) {
        begin_life();
    }

    /// One heartbeat. The store drops the entry after three heartbeats of silence.
    void beat() {
        const std::scoped_lock lock(m_mutex);
        if (!m_is_down) {
            put_entry();
        } else if (++m_missed == 3) {
            m_registry->put("keyed.servers", m_id, "");
        }
    }
    int get_running() const { return m_running; }
    static std::uint64_t get_runs() { return total_runs; }

    /// All connections break, and new ones are refused.
    void crash() {
        const std::scoped_lock lock(m_mutex);
        note("%s crashes with %d requests", m_id.c_str(), m_running.load());
        m_is_down = true;
        m_missed = 0;
        m_listener.refuse();
    }
    /// Starts again under another id.
    void restart() {
        const std::scoped_lock lock(m_mutex);
        m_listener.accept_again();
        m_is_down = false;
        begin_life();
    }

private:
    static constexpr double switch_seconds = 3;
    static inline std::atomic<std::uint64_t> total_runs{0};

    void begin_life() {
        ++m_life;
        m_id = "i-" + std::to_string(m_number) + "-" + std::to_string(m_life);
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_seq = 1;
        m_orders = 0;
        m_fence = 0;
        m_changes_at = 0;
        put_entry();
    }
    void put_entry() {
        finish_order();
        m_registry->put("keyed.servers", m_id,
                        server_entry("llm", m_listener.at().text(), m_is_prefill ? "prefill" : "decode", m_born,
                                     m_seq++));
    }
    void finish_order() {
        if (m_changes_at > 0 && seconds() >= m_changes_at) {
            m_changes_at = 0;
            m_is_prefill = !m_is_prefill;
        }
    }
    void serve(peer_link& peer) {
        const int life = m_life;
        for (;;) {
            message request;
            if (!peer.read_head(request, 300) || !peer.read_body(request, 5, false) || m_is_down || life != m_life) {
                break;
            }
            if (!answer(request, peer, life)) {
                break;
            }
        }
    }
    std::string report() {
        return std::string("{\"stage\":\"") + (m_is_prefill ? "prefill" : "decode") +
               "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":" +
               (m_changes_at > 0 ? "true" : "false") + ",\"seq\":" + std::to_string(m_orders) +
               ",\"queued\":0,\"running\":" + std::to_string(m_running) +
               ",\"kvUsed\":0,\"kvTotal\":547862,\"kvHandles\":0}";
    }
    int take_order(const std::string& body) {
        const auto number = [&](const std::string& key) {
            const std::size_t at = body.find("\"" + key + "\":");
            return at == std::string::npos ? 0ULL : std::strtoull(body.c_str() + at + key.size() + 3, nullptr, 10);
        };
        const bool wants_prefill = body.find("\"stage\":\"prefill\"") != std::string::npos;
        if (number("fence") < m_fence) {
            return 412;
        }
        m_fence = number("fence");
        if (m_changes_at > 0 || number("precondition") != m_orders) {
            return 409;
        }
        if (wants_prefill == m_is_prefill) {
            return 200;
        }
        ++m_orders;
        m_changes_at = seconds() + switch_seconds;
        return 202;
    }
    bool answer(const message& request, peer_link& peer, int life) {
        const std::string id = request.get("Dragonflywell-Attempt-Id");
        const std::string echo = id.empty() ? "" : "Dragonflywell-Attempt-Id: " + id + "\r\n";
        {
            std::unique_lock lock(m_mutex);
            finish_order();
            if (request.has("Dragonflywell-Expect-Instance") && request.get("Dragonflywell-Expect-Instance") != m_id) {
                lock.unlock();
                return peer.write(respond(421, "", echo + "Dragonflywell-Instance-Id: " + m_id + "\r\n"));
            }
            if (request.path() == "/-/report") {
                return peer.write(respond(200, report(), "Content-Type: application/json\r\n"));
            }
            if (request.path() == "/-/order") {
                return peer.write(respond(take_order(request.body), "{}", "Content-Type: application/json\r\n"));
            }
            if (request.method() == "DELETE" || request.path() == "/health") {
                return peer.write(respond(200, "{}"));
            }
            const bool is_prefill_call = request.get("Dragonflywell-Stage") == "prefill";
            if (m_changes_at > 0) {
                return peer.write(respond(503, "", echo + "Dragonflywell-Not-Executed: 1\r\n"));
            }
            if (is_prefill_call != m_is_prefill) {
                return peer.write(respond(421, "", echo + "Dragonflywell-Instance-Id: " + m_id + "\r\n"));
            }
            if (is_prefill_call) {
                return peer.write(respond(200, "{\"kvHandle\":\"" + id + "\",\"tokens\":1400,\"version\":1}",
                                          echo + "Content-Type: application/json\r\n"));
            }
        }
        ++m_running;
        const double until = seconds() + m_options.first_token_seconds;
        const auto is_alive = [&] { return !m_is_down && life == m_life; };
        while (seconds() < until && is_alive() && !peer.is_left()) {
            pause(0.005);
        }
        --m_running;
        if (!is_alive() || peer.is_left()) {
            return false;
        }
        ++total_runs;
        const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx", events.size());
        return peer.write("HTTP/1.1 200 OK\r\n" + echo + "Dragonflywell-Server-Seal: s." + id +
                          "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\n" +
                          events + "\r\n0\r\n\r\n");
    }

    store* m_registry;
    int m_number;
    options m_options;
    std::mutex m_mutex;
    std::atomic<int> m_life{0};
    std::string m_id;
    std::int64_t m_born{};
    int m_seq{1};
    bool m_is_prefill;
    std::uint64_t m_orders{0};
    std::uint64_t m_fence{0};
    double m_changes_at{0};
    std::atomic<bool> m_is_down{false};
    int m_missed{0};
    std::atomic<int> m_running{0};
    listener m_listener;
};

/// The configuration of a deployment with one service of model replicas and one route to it.
inline std::string engine_configuration() {
    return R"({"version":7,"routes":[{"name":"r-gen","host":"h.example","pathPrefix":"/gen/","kind":"stream",)"
           R"("timeoutMs":8000,"targetLatencyMs":600,"priority":1,"service":"llm","attempts":1,"public":false,)"
           R"("sticky":true,"resumable":false,"targetGapMs":200}],"services":[{"name":"llm","healthPath":"/health",)"
           R"("maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":547862,)"
           R"("kvTokenBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":6,"most":12,)"
           R"("kvHoldS":5.0,"switchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000},"tenants":[{"name":"org1","apiKeys":["key1"],"priority":1}]})";
}

/// A platform that kills a process whose memory exceeds the limit of its machine, and starts it again. So it does with
/// one that has ended by itself.
class memory_watch {
public:
    explicit memory_watch(std::vector<std::unique_ptr<daemon_process>>& daemons)
        : m_daemons(&daemons), m_ends(daemons.size()), m_peaks(daemons.size()), m_thread([this] { run(); }) {}
    ~memory_watch() { stop(); }

    void stop() {
        m_is_over = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    int get_ends(std::size_t index) const { return m_ends[index]; }
    long get_peak(std::size_t index) const { return m_peaks[index]; }
    /// Whether all processes have ended three times; the rule asks it of a tenth of the machines and of two at least.
    bool is_rule_broken() const {
        constexpr int ends_that_count = 3;
        return std::all_of(m_ends.begin(), m_ends.end(), [](const auto& ends) { return ends >= ends_that_count; });
    }

private:
    void run() {
        while (!m_is_over) {
            for (std::size_t index = 0; index < m_daemons->size(); ++index) {
                check(*(*m_daemons)[index], index);
            }
            pause(0.005);
        }
    }
    void check(daemon_process& daemon, std::size_t index) {
        const bool has_ended = daemon.has_ended();
        const long held = has_ended ? 0 : daemon.get_memory_kb();
        m_peaks[index] = std::max(m_peaks[index].load(), held);
        if (!has_ended && held <= daemon.limits().memory_mb * 1024) {
            return;
        }
        ++m_ends[index];
        if (has_ended) {
            note("%s has ended by itself, wait status %x", daemon.name().c_str(), daemon.get_status());
        } else {
            note("%s holds %ld kB, over its limit of %ld MB: killed, the %d. time", daemon.name().c_str(), held,
                 daemon.limits().memory_mb, m_ends[index].load());
        }
        daemon.kill();
        daemon.start();
    }

    std::vector<std::unique_ptr<daemon_process>>* m_daemons;
    std::vector<std::atomic<int>> m_ends;
    std::vector<std::atomic<long>> m_peaks;
    std::atomic<bool> m_is_over{false};
    std::thread m_thread;
};

} // namespace kit
