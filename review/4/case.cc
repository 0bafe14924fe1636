// A replica answers some requests with a failure of its own, whose status is not one of the most usual ones.
#include "../harness.hh"

using namespace review;

int main(int, char** argv) {
    start_time();
    the_record() = new record_file(argv[1]);
    auto* system = new deployment(1);
    store& list = *system->list;
    list.put("keyed.op", "config",
             R"({"version":3,"routes":[{"name":"orders","host":"review.example","pathPrefix":"/orders/","kind":"unsafe",)"
             R"("timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"map-app","attempts":1,"public":false}],)"
             R"("services":[{"name":"map-app","healthPath":"/health","maxConns":96}],)"
             R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
             R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1}]})");
    replica server(list, find_address(system->prefix + "101"), {},
                   [](const arrival& run) { record("replica " + run.replica + ": runs " + run.id); });
    // Status of the replica's next failure.
    std::atomic<int> status{500};
    server.intercept = [&](const message& request, connection& caller) {
        const std::string id = request.header("Dragonflywell-Attempt-Id");
        record("replica " + server.id() + ": runs " + id + " and answers " + std::to_string(status));
        caller.write(encode_response(status, {{"Dragonflywell-Attempt-Id", id}, {"Dragonflywell-Server-Seal", "s." + id}},
                                     "failed " + id));
        return true;
    };
    system->start_hosts();
    say("the host is ready");

    const std::vector<int> statuses = has_trouble() ? std::vector<int>{425, 420, 430, 450, 460, 498, 509, 520, 529}
                                                    : std::vector<int>{400, 403, 404, 409, 422, 500, 501, 502, 507};
    int wrong = 0;
    for (const int sent : statuses) {
        for (int round = 0; round < 3; ++round) {
            status = sent;
            client_request order{.target = "/orders/1", .id = make_id(), .key = "key-of-t1"};
            const outcome got = call(system->hosts[0]->front(), order);
            const bool is_same = got.how == outcome::answered && got.answer.status == sent &&
                                 got.answer.body == "failed " + order.id;
            wrong += is_same ? 0 : 1;
            say("order " + order.id + ": the replica answered " + std::to_string(sent) + ", the client got " +
                describe(got) + ", signature " + got.answer.header("Dragonflywell-Server-Seal"));
            sleep_ms(100);
        }
    }
    say("answers whose status changed: " + std::to_string(wrong) + " of " + std::to_string(3 * statuses.size()));
    finish(wrong > 0 ? exit_broken : exit_held);
}
