// Another writer keeps entries of its own in the list of replicas: whole entries, of a service that the configuration
// does not name, at the addresses of the replicas. The replicas are sound, and write their own entries all the while.
#include "../kit-2/kit.hh"

namespace {

using namespace kit;

constexpr int replica_count = 4;
constexpr int daemon_count = 3;
constexpr double heartbeat_seconds = 1.2;
constexpr double load_seconds = 40;
constexpr double requests_per_second = 10;

std::atomic<int> runs{0};

std::int64_t get_wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool answer_at_replica(const std::string& id, const message& request, peer_link& peer) {
    const std::string echo = "Dragonflywell-Attempt-Id: " + request.get("Dragonflywell-Attempt-Id") + "\r\n";
    if (request.get("Dragonflywell-Expect-Instance") != id) {
        return peer.write(respond(421, "", echo + "Dragonflywell-Instance-Id: " + id + "\r\n"));
    }
    ++runs;
    pause(0.03);
    return peer.write(respond(200, "ok", echo + "Dragonflywell-Server-Seal: s." + id + "\r\n"));
}

int ask(const daemon_process& daemon, int number) {
    const auto peer = connect_to(daemon.callers());
    message got;
    const std::string text = std::to_string(number);
    const bool is_read = peer &&
                         peer->write("GET /read/" + text + " HTTP/1.1\r\nHost: h.example\r\nDragonflywell-Attempt-Id: a" +
                                     text + "\r\nDragonflywell-Deadline-Ms: 1000\r\nApi-Key: key1\r\n\r\n") &&
                         peer->read_head(got, 1) && peer->read_body(got, 0.2, false);
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
    std::vector<std::unique_ptr<listener>> replicas;
    const std::int64_t born = get_wall_ms();
    const auto get_id = [](int index) { return "i-" + std::to_string(index); };
    for (int index = 0; index < replica_count; ++index) {
        replicas.push_back(std::make_unique<listener>("127.0.0.1", [id = get_id(index)](peer_link& peer) {
            serve_requests(peer, [&](const message& request, peer_link& own) {
                return answer_at_replica(id, request, own);
            });
        }));
    }
    const auto beat = [&](int seq) {
        for (int index = 0; index < replica_count; ++index) {
            store.put("keyed.servers", get_id(index),
                      server_entry("app", replicas[index]->at().text(), "", born, seq, "ready", 6));
        }
    };
    beat(1);
    if (frame.has_trouble) {
        for (int index = 0; index < replica_count; ++index) {
            store.put("keyed.servers", "legacy-" + std::to_string(index),
                      server_entry("app-legacy", replicas[index]->at().text(), "", get_wall_ms(), 1, "ready", 6));
        }
        note("another writer has written %d entries of the service app-legacy", replica_count);
    }
    std::atomic<bool> is_over{false};
    std::thread beats([&] {
        for (int seq = 2; !is_over; ++seq) {
            pause(heartbeat_seconds);
            beat(seq);
        }
    });
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
    std::map<int, int> statuses;
    int sent = 0;
    for (const double until = seconds() + load_seconds; seconds() < until;) {
        ++sent;
        ++statuses[ask(*daemons[static_cast<std::size_t>(sent % daemon_count)], sent)];
        if (sent % 50 == 0) {
            note("%d sent, %d served", sent, statuses[200]);
        }
        pause(1 / requests_per_second);
    }
    is_over = true;
    beats.join();
    for (const auto& [status, count] : statuses) {
        note("%d answers with status %d", count, status);
    }
    note("%d sent, %d served; the replicas ran %d", sent, statuses[200], runs.load());
    daemons.clear();
    frame.end(statuses[200] == 0 ? 1 : 0);
}
