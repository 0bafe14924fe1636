// The operator removes the tenants one after the other. A caller without a valid key calls all the while.
#include "../harness.hh"

using namespace review;

namespace {

constexpr std::int64_t config_apply_ms = 2000;

std::string make_configuration(int version, const std::string& tenants) {
    return "{\"version\":" + std::to_string(version) +
           R"(,"routes":[{"name":"orders","host":"review.example","pathPrefix":"/orders/","kind":"unsafe",)"
           R"("timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"map-app","attempts":1,"public":false}],)"
           R"("services":[{"name":"map-app","healthPath":"/health","maxConns":96}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[)" +
           tenants + "]}";
}

std::mutex g_mutex;
std::map<std::string, std::string> g_runs;

} // namespace

int main(int, char** argv) {
    start_time();
    the_record() = new record_file(argv[1]);
    auto* system = new deployment(2);
    store& list = *system->list;
    const std::string first = R"({"name":"t1","apiKeys":["key-of-t1"],"priority":1})";
    const std::string second = R"({"name":"t2","apiKeys":["key-of-t2"],"priority":1})";
    list.put("keyed.op", "config", make_configuration(3, first + "," + second));
    std::vector<replica*> replicas;
    for (int index = 0; index < 2; ++index) {
        replicas.push_back(new replica(list, find_address(system->prefix + std::to_string(101 + index)), {},
                                       [](const arrival& run) {
                                           record("replica " + run.replica + ": runs " + run.id + " for tenant '" +
                                                  run.tenant + "'");
                                           const std::scoped_lock lock(g_mutex);
                                           g_runs[run.id] = run.tenant;
                                       }));
    }
    system->start_hosts();
    say("hosts are ready");

    const std::int64_t begin = now_ms();
    std::vector<std::string> foreign;
    std::vector<std::pair<std::string, std::int64_t>> revoked;
    std::atomic<std::int64_t> last_removed{INT64_MAX};
    std::thread caller([&] {
        for (std::size_t round = 0; now_ms() < begin + 12000; ++round) {
            const host& chosen = *system->hosts[round % 2];
            for (const std::string key : {"key-that-never-was", "key-of-t2"}) {
                client_request order{.target = "/orders/1", .id = make_id(), .key = key};
                const std::int64_t sent = now_ms();
                const std::string got = describe(call(chosen.front(), order));
                record("client: order " + order.id + " with " + key + " to " + chosen.name() + " got " + got);
                if (key == "key-of-t2") {
                    revoked.emplace_back(order.id, sent);
                } else {
                    foreign.push_back(order.id);
                }
            }
            sleep_ms(100);
        }
    });
    sleep_until_ms(begin + 3000);
    list.put("keyed.op", "config", make_configuration(5, second));
    say("version 5 has one tenant");
    sleep_until_ms(begin + 6000);
    list.put("keyed.op", "config", make_configuration(6, has_trouble() ? "" : R"({"name":"t2","apiKeys":[],"priority":1})"));
    last_removed = now_ms();
    say(has_trouble() ? "version 6 has no tenant" : "version 6 has one tenant, which has no key");
    caller.join();

    int unknown_runs = 0;
    int revoked_runs = 0;
    for (const std::string& id : foreign) {
        unknown_runs += g_runs.contains(id) ? 1 : 0;
    }
    for (const auto& [id, sent] : revoked) {
        revoked_runs += g_runs.contains(id) && sent > last_removed + config_apply_ms ? 1 : 0;
    }
    say("orders run with a key that no configuration ever held: " + std::to_string(unknown_runs) + " of " +
        std::to_string(foreign.size()) + "; run with a key that was taken away over configApplyMs before: " +
        std::to_string(revoked_runs));
    finish(unknown_runs > 0 || revoked_runs > 0 ? exit_broken : exit_held);
}
