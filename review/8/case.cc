// A request crashes each replica that begins to run it. The replica goes dark: it sends nothing more, and is back under
// another id after some seconds. The same caller sends the same request again and again, at any daemon.
#include "../kit-2/kit.hh"

namespace {

using namespace kit;

constexpr int replica_count = 8;
constexpr int daemon_count = 3;
constexpr double dark_seconds = 8;
constexpr double heartbeat_seconds = 1.2;
constexpr double contact_seconds = 3;
constexpr double deadline_seconds = 1;
constexpr double pause_between_attempts = 1.2;
constexpr double load_seconds = 45;
constexpr int retries_that_are_allowed = 3;

class replica {
public:
    replica(store& registry, int number, bool may_crash)
        : m_registry(&registry), m_number(number), m_may_crash(may_crash),
          m_listener("127.0.0.1", [this](peer_link& peer) { serve(peer); }) {
        register_again();
        std::thread([this] { beat(); }).detach();
    }

    static inline std::mutex mutex;
    /// Times at which the poisonous request reached a replica.
    static inline std::vector<double> arrivals;
    static inline std::vector<double> crashes;

private:
    void register_again() {
        ++m_life;
        m_id = "i-" + std::to_string(m_number) + "-" + std::to_string(m_life);
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_seq = 1;
        put_entry();
    }
    void put_entry() {
        m_registry->put("keyed.servers", m_id,
                        server_entry("app", m_listener.at().text(), "", m_born, m_seq++, "ready", 6));
    }
    /// Writes the entry at each heartbeat; the store drops it after three heartbeats of silence.
    void beat() {
        for (;;) {
            pause(heartbeat_seconds);
            if (!m_is_dark) {
                put_entry();
                continue;
            }
            pause(2 * heartbeat_seconds);
            m_registry->put("keyed.servers", m_id, "");
            pause(std::max(0.0, m_dark_until - seconds()));
            m_listener.come_back();
            m_is_dark = false;
            register_again();
            note("replica %d is back as %s", m_number, m_id.c_str());
        }
    }
    void serve(peer_link& peer) {
        const int life = m_life;
        for (;;) {
            message request;
            if (!peer.read_head(request, 300) || !peer.read_body(request, 5, false)) {
                break;
            }
            if (m_is_dark || life != m_life) {
                break;
            }
            const std::string id = request.get("Dragonflywell-Attempt-Id");
            const std::string echo = "Dragonflywell-Attempt-Id: " + id + "\r\n";
            if (request.get("Dragonflywell-Expect-Instance") != m_id) {
                peer.write(respond(421, "", echo + "Dragonflywell-Instance-Id: " + m_id + "\r\n"));
                continue;
            }
            if (request.target() == "/read/poison") {
                const std::scoped_lock lock(mutex);
                arrivals.push_back(seconds());
                note("%s gets the request %s%s", m_id.c_str(), id.c_str(), m_may_crash ? " and goes dark" : "");
                if (m_may_crash) {
                    crashes.push_back(seconds());
                    m_dark_until = seconds() + dark_seconds;
                    m_is_dark = true;
                    m_listener.go_dark();
                    break;
                }
            }
            if (!peer.write(respond(200, "ok", echo + "Dragonflywell-Server-Seal: s." + id + "\r\n"))) {
                return;
            }
        }
        // A dark machine sends nothing, not even the end of its connections.
        while (m_is_dark) {
            pause(0.1);
        }
        peer.reset();
    }

    store* m_registry;
    int m_number;
    bool m_may_crash;
    std::atomic<int> m_life{0};
    std::string m_id;
    std::int64_t m_born{};
    int m_seq{1};
    std::atomic<bool> m_is_dark{false};
    double m_dark_until{0};
    listener m_listener;
};

int ask(const daemon_process& daemon, const std::string& target, const std::string& id) {
    const auto peer = connect_to(daemon.callers());
    message got;
    const bool is_read = peer &&
                         peer->write("GET " + target + " HTTP/1.1\r\nHost: h.example\r\nDragonflywell-Attempt-Id: " + id +
                                     "\r\nDragonflywell-Deadline-Ms: 1000\r\nApi-Key: key1\r\n\r\n") &&
                         peer->read_head(got, deadline_seconds) && peer->read_body(got, 0.2, false);
    return is_read ? got.status() : 0;
}

} // namespace

int main(int argc, char** argv) {
    const run_frame frame(argc, argv);
    store store("127.0.0.1");
    cloud cloud("127.0.0.1");
    store.put("keyed.op", "config",
              R"({"version":7,"routes":[{"name":"r-read","host":"h.example","pathPrefix":"/read/","kind":"safe",)"
              R"("timeoutMs":1000,"targetLatencyMs":150,"priority":1,"service":"app","attempts":2,"public":false}],)"
              R"("services":[{"name":"app","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],)"
              R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
              R"("idleTimeoutMs":15000},"tenants":[{"name":"org1","apiKeys":["key1"],"priority":1}]})");
    std::vector<std::unique_ptr<replica>> replicas;
    for (int index = 0; index < replica_count; ++index) {
        replicas.push_back(std::make_unique<replica>(store, index, frame.has_trouble));
    }
    std::vector<std::unique_ptr<daemon_process>> daemons;
    for (int index = 0; index < daemon_count; ++index) {
        daemons.push_back(std::make_unique<daemon_process>(frame.program, frame.folder, "h" + std::to_string(index + 1),
                                                           "z1", "127.0.0." + std::to_string(index + 2), store.at(),
                                                           cloud.at()));
        daemons.back()->start();
    }
    for (const auto& daemon : daemons) {
        if (!daemon->wait_until_ready(15)) {
            note("%s does not become ready", daemon->name().c_str());
            frame.end(2);
        }
    }
    pause(5);
    std::atomic<bool> is_over{false};
    std::atomic<int> others_served{0};
    std::atomic<int> others_sent{0};
    std::thread others([&] {
        for (int number = 1; !is_over; ++number) {
            ++others_sent;
            others_served +=
                ask(*daemons[static_cast<std::size_t>(number % daemon_count)], "/read/" + std::to_string(number),
                    "other" + std::to_string(number)) == 200;
            pause(0.1);
        }
    });
    const double until = seconds() + load_seconds;
    std::vector<double> sent;
    for (int attempt = 1; seconds() < until; ++attempt) {
        const daemon_process& daemon = *daemons[static_cast<std::size_t>(attempt % daemon_count)];
        const double began_at = seconds();
        const int status = ask(daemon, "/read/poison", "poison" + std::to_string(attempt));
        note("attempt %d, sent to %s: %s", attempt, daemon.name().c_str(),
             status == 0 ? "no answer within its time" : ("status " + std::to_string(status)).c_str());
        pause(std::max(0.0, began_at + pause_between_attempts - seconds()));
    }
    is_over = true;
    others.join();
    const std::scoped_lock lock(replica::mutex);
    int late = 0;
    if (replica::crashes.size() >= 3) {
        for (const double arrival : replica::arrivals) {
            late += arrival > replica::crashes[2] + contact_seconds;
        }
    }
    note("the request reached replicas %zu times and crashed %zu; %d retries came later than 3 s after the third crash "
         "(%d are allowed)",
         replica::arrivals.size(), replica::crashes.size(), late, retries_that_are_allowed);
    note("other requests: %d sent, %d served", others_sent.load(), others_served.load());
    daemons.clear();
    if (others_served == 0) {
        frame.end(2);
    }
    frame.end(late > retries_that_are_allowed ? 1 : 0);
}
