// Replicas crash while they run ordinary prompts that are listed in blocks of 16 tokens. Each daemon runs under the
// platform's limit of memory: a process that exceeds it is killed and started again.
#include "../kit-2/engine.hh"

namespace {

using namespace kit;

constexpr int engine_count = 12;
constexpr int callers_per_daemon = 20;
constexpr int crashes_at_once = 2;
constexpr int rounds = 4;
constexpr double seconds_per_round = 18;
constexpr double down_seconds = 4.5;
constexpr double first_token_seconds = 1.5;
constexpr int subjects = 40;
constexpr int block_tokens = 16;
constexpr int shared_tokens = 13300;
constexpr int own_tokens = 3720;

std::atomic<std::uint64_t> answered{0};
std::atomic<std::uint64_t> refused{0};
std::atomic<std::uint64_t> broken{0};

void add_blocks(std::string& list, std::uint64_t first_id, int tokens) {
    char part[40];
    for (int at = 0; at < tokens; at += block_tokens) {
        std::snprintf(part, sizeof part, "%s%08llx:%d", list.empty() ? "" : ",",
                      static_cast<unsigned long long>(first_id++), std::min(block_tokens, tokens - at));
        list += part;
    }
}

/// A prompt of 13,300 shared and 3,720 further tokens, as in the sheet of the deployment.
std::string make_request(std::uint64_t number) {
    char id[20];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(number));
    std::string parts;
    add_blocks(parts, 0x10000000 + 0x1000 * (number % subjects), shared_tokens);
    add_blocks(parts, 0x20000000 + 0x100 * number, own_tokens);
    return "POST /gen/x HTTP/1.1\r\nHost: h.example\r\nDragonflywell-Attempt-Id: " + std::string(id) +
           "\r\nDragonflywell-Model: m\r\nDragonflywell-Deadline-Ms: 8000\r\nApi-Key: key1\r\nContent-Length: 16\r\n"
           "Dragonflywell-Token-Count: " +
           std::to_string(shared_tokens + own_tokens) + ",2\r\nDragonflywell-Prompt-Prefix: " + parts + "\r\n\r\n" + id;
}

void call(const daemon_process& daemon, std::atomic<std::uint64_t>& next, const std::atomic<bool>& is_over) {
    std::unique_ptr<peer_link> peer;
    while (!is_over) {
        if (!peer) {
            peer = connect_to(daemon.callers());
        }
        if (!peer) {
            pause(0.2);
            continue;
        }
        message got;
        const bool is_read = peer->write(make_request(++next)) && peer->read_head(got, 9) &&
                             peer->read_body(got, 9, false);
        ++(!is_read ? broken : (got.status() == 200 ? answered : refused));
        if (!is_read || same_name(got.get("Connection"), "close")) {
            peer.reset();
        }
        if (got.status() != 200) {
            pause(0.5);
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    const run_frame frame(argc, argv);
    store store("127.0.0.1");
    cloud cloud("127.0.0.1");
    store.put("keyed.op", "config", engine_configuration());
    std::vector<std::unique_ptr<engine>> engines;
    for (int index = 0; index < engine_count; ++index) {
        engines.push_back(std::make_unique<engine>(
            store, index,
            engine::options{.first_token_seconds = first_token_seconds, .is_prefill = index % 2 == 0}));
    }
    std::atomic<bool> is_over{false};
    std::thread beats([&] {
        while (!is_over) {
            pause(1.2);
            for (const auto& each : engines) {
                each->beat();
            }
        }
    });
    std::vector<std::unique_ptr<daemon_process>> daemons;
    for (int index = 0; index < 2; ++index) {
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
    pause(3);
    memory_watch watch(daemons);
    std::atomic<std::uint64_t> next{0};
    std::vector<std::thread> callers;
    for (const auto& daemon : daemons) {
        for (int caller = 0; caller < callers_per_daemon; ++caller) {
            callers.emplace_back([&] { call(*daemon, next, is_over); });
        }
    }
    const auto report = [&](int round) {
        note("round %d: memory h1 %ld kB, h2 %ld kB, peaks %ld and %ld kB; answered %llu, refused or failed %llu, "
             "broken off %llu",
             round, daemons[0]->get_memory_kb(), daemons[1]->get_memory_kb(), watch.get_peak(0), watch.get_peak(1),
             static_cast<unsigned long long>(answered), static_cast<unsigned long long>(refused),
             static_cast<unsigned long long>(broken));
    };
    for (int round = 1; round <= rounds && !watch.is_rule_broken(); ++round) {
        const double round_end = seconds() + seconds_per_round;
        pause(seconds_per_round - down_seconds - 5);
        report(round);
        std::vector<engine*> crashed;
        if (frame.has_trouble) {
            for (const auto& each : engines) {
                crashed.push_back(each.get());
            }
            std::sort(crashed.begin(), crashed.end(),
                      [](const engine* left, const engine* right) { return left->get_running() > right->get_running(); });
            crashed.resize(crashes_at_once);
        }
        for (engine* each : crashed) {
            each->crash();
        }
        pause(down_seconds);
        for (engine* each : crashed) {
            each->restart();
        }
        pause(std::max(0.0, round_end - seconds()));
        report(round);
    }
    is_over = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    watch.stop();
    beats.join();
    for (std::size_t index = 0; index < daemons.size(); ++index) {
        note("%s: ended or killed over its limit %d times, peak %ld kB", daemons[index]->name().c_str(),
             watch.get_ends(index), watch.get_peak(index));
    }
    const bool is_broken = watch.is_rule_broken();
    daemons.clear();
    if (answered == 0 && !is_broken) {
        frame.end(2);
    }
    frame.end(is_broken ? 1 : 0);
}
