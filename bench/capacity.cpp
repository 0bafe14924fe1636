// Measures what grows with the number of daemons and of organisations, inside one process: gossip over a simulated
// network in virtual time with the real codec, and the configuration at several sizes. Prints one JSON object a line;
// bench/capacity runs it and adds real processes.
#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <ctime>
#include <fmt/format.h>
#include <iostream>
#include <malloc.h>
#include <span>

#include "coordination/configuration.hpp"
#include "coordination/record_fold.hpp"
#include "coordination/usage.hpp"
#include "core/hash.hpp"
#include "fleet/manifest.hpp"
#include "proto/peer.pb.h"
#include "servers/peer_codec.hpp"
#include "support/gossip_network.hpp"

namespace {

using namespace dragonflywell;
using namespace dragonflywell::coordination;
using dragonflywell::testing::gossip_network;
using std::chrono::seconds;

constexpr std::uint16_t first_port = 1000;
constexpr double lost_share = 0.001;

double get_cpu_seconds() {
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

std::size_t get_heap_bytes() {
    return mallinfo2().uordblks;
}

void print(const boost::json::object& line) {
    std::cout << boost::json::serialize(line) << std::endl;
}

/// Shape of a fleet: so many daemons in each of so many zones.
struct fleet_shape {
    std::uint16_t zones{1};
    std::uint16_t daemons_in_zone{};

    [[nodiscard]] std::uint16_t get_daemons() const { return zones * daemons_in_zone; }
};

std::vector<listed_host> make_list(const fleet_shape& shape) {
    std::vector<listed_host> listed;
    for (std::uint16_t index = 0; index < shape.get_daemons(); ++index) {
        listed.push_back({.address = {.address = "10.0.0.1", .port = static_cast<std::uint16_t>(first_port + index)},
                          .zone = zone_name("zone-" + std::to_string(index % shape.zones))});
    }
    return listed;
}

std::string get_host(std::size_t index) {
    return "entry-host-" + std::to_string(index);
}

/// Publishes what daemons publish in operation: a load each, and the log's end by two readers in each zone.
void publish_round(gossip_network& network, const fleet_shape& shape, int second) {
    constexpr int load_interval = 5;
    for (std::size_t index = 0; index < shape.get_daemons(); ++index) {
        membership& peer = *network.daemons.at(get_host(index)).peer;
        if (second % load_interval == static_cast<int>(index) % load_interval) {
            peer.publish(item_kind::load, "", item_scope::zone, std::string(24, 'l'));
        }
        const bool is_reader = index < static_cast<std::size_t>(shape.zones) * 2;
        if (is_reader) {
            peer.publish(item_kind::log_freshness, "configuration", item_scope::zone, std::string(24, 'f'));
        }
    }
}

/// Returns the seconds until all but a share of the daemons satisfy the condition, or -1 after a minute.
template <typename Condition>
double run_until_most(gossip_network& network, Condition condition) {
    constexpr int most_steps = 600;
    for (int step = 1; step <= most_steps; ++step) {
        network.run_for(std::chrono::milliseconds(100));
        std::size_t missing = 0;
        for (const auto& [host, running] : network.daemons) {
            missing += condition(*running.peer) ? 0 : 1;
        }
        if (static_cast<double>(missing) <= lost_share * static_cast<double>(network.daemons.size())) {
            return step * 0.1;
        }
    }
    return -1;
}

double measure_change(gossip_network& network, const fleet_shape& shape) {
    const auto version = static_cast<std::uint64_t>(network.time.now().time_since_epoch().count());
    for (std::uint16_t zone = 0; zone < shape.zones; ++zone) {
        // A reader of each zone sees the change in the log; the daemons of the zone learn of it from the reader.
        network.daemons.at(get_host(zone)).peer->publish_shared(item_kind::configuration_version, "", version, "v");
    }
    return run_until_most(network, [&](const membership& peer) {
        const gossip_item* held =
            peer.get_items().find({.owner = {}, .kind = item_kind::configuration_version, .subject = {}});
        return held != nullptr && held->version >= version;
    });
}

double measure_death(gossip_network& network, const std::string& victim) {
    const zone_name zone = network.daemons.at(victim).peer->get_self().zone;
    network.kill(victim);
    return run_until_most(network, [&](const membership& peer) {
        const member* held = peer.find(host_name(victim));
        return peer.get_self().zone != zone || held == nullptr || is_removed(held->state);
    });
}

/// Returns the CPU time in seconds of encoding and decoding one message of typical content.
double measure_codec(std::size_t& encoded_bytes) {
    gossip_network network(3);
    const fleet_shape shape{.zones = 1, .daemons_in_zone = 30};
    network.set_list(make_list(shape));
    for (std::size_t index = 0; index < shape.get_daemons(); ++index) {
        network.start(get_host(index), "zone-0", static_cast<std::uint16_t>(first_port + index));
    }
    for (int second = 0; second < 30; ++second) {
        publish_round(network, shape, second);
        network.run_for(seconds(1));
    }
    const std::vector<addressed_message> messages = network.daemons.at(get_host(0)).peer->tick();
    constexpr int rounds = 2000;
    const double before = get_cpu_seconds();
    encoded_bytes = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const addressed_message& message : messages) {
            proto::GossipMessage encoded;
            servers::encode(message.message, encoded);
            std::string bytes;
            encoded.SerializeToString(&bytes);
            encoded_bytes += bytes.size();
            proto::GossipMessage received;
            received.ParseFromString(bytes);
            static_cast<void>(servers::decode(received));
        }
    }
    const double count = static_cast<double>(messages.size()) * rounds;
    encoded_bytes = static_cast<std::size_t>(static_cast<double>(encoded_bytes) / count);
    return (get_cpu_seconds() - before) / count;
}

void measure_gossip(const fleet_shape& shape) {
    constexpr int measured_seconds = 30;
    gossip_network network(7);
    network.set_list(make_list(shape));
    const std::size_t heap_before = get_heap_bytes();
    for (std::size_t index = 0; index < shape.get_daemons(); ++index) {
        network.start(get_host(index), "zone-" + std::to_string(index % shape.zones),
                      static_cast<std::uint16_t>(first_port + index));
    }
    for (int second = 0; second < 60; ++second) {
        publish_round(network, shape, second);
        network.run_for(seconds(1));
    }
    const std::size_t unseen = network.get_unseen().size();
    const std::size_t heap = get_heap_bytes() - heap_before;
    const std::uint64_t messages_before = network.messages;
    const std::uint64_t bytes_before = network.bytes;
    const double cpu_before = get_cpu_seconds();
    for (int second = 0; second < measured_seconds; ++second) {
        publish_round(network, shape, second);
        network.run_for(seconds(1));
    }
    const double per_daemon_second = 1.0 / (measured_seconds * static_cast<double>(shape.get_daemons()));
    const double cpu = get_cpu_seconds() - cpu_before;
    const double messages = static_cast<double>(network.messages - messages_before) * per_daemon_second;
    const double bytes = static_cast<double>(network.bytes - bytes_before) * per_daemon_second;
    const double change = measure_change(network, shape);
    const double death = measure_death(network, get_host(shape.get_daemons() - 1));
    print({{"part", "gossip"},
           {"zones", shape.zones},
           {"daemons", shape.get_daemons()},
           {"unseen_pairs", unseen},
           {"messages_sent_per_second", messages},
           {"bytes_sent_per_second", bytes},
           {"cpu_microseconds_per_second", cpu * per_daemon_second * 1e6},
           {"heap_bytes", static_cast<double>(heap) / shape.get_daemons()},
           {"change_seconds", change},
           {"death_seconds", death}});
}

fleet::manifest_entries make_entries(std::size_t organisations) {
    constexpr std::size_t engines = 1300;
    constexpr std::size_t zones = 11;
    fleet::manifest_entries entries;
    entries["settings/billing"] = R"({"window_seconds":3600})";
    for (std::size_t zone = 0; zone < zones; ++zone) {
        entries[fmt::format("zones/zone-{}", zone)] = fmt::format(R"({{"region":"region-{}"}})", zone % 5);
    }
    for (std::size_t model = 0; model < 3; ++model) {
        entries[fmt::format("models/model-{}", model)] = R"({"version":"1"})";
    }
    for (std::size_t engine = 0; engine < engines; ++engine) {
        entries[fmt::format("backend_servers/engine-{:05}", engine)] =
            fmt::format(R"({{"zone":"zone-{}","address":"10.{}.{}.{}:9000","model":"model-{}"}})", engine % zones,
                        engine % 200, engine / 200, engine % 250, engine % 3);
    }
    for (std::size_t organisation = 0; organisation < organisations; ++organisation) {
        entries[fmt::format("organisations/organisation-{:05}", organisation)] =
            R"({"weight":2,"tokens_per_window":1000000})";
        entries[fmt::format("keys/k{:016}", organisation)] =
            fmt::format(R"({{"organisation":"organisation-{:05}","salt":"{:016}","sha256":"{}"}})", organisation,
                        organisation, get_sha256_hex(std::to_string(organisation)));
    }
    return entries;
}

void measure_configuration(std::size_t organisations) {
    constexpr int deltas = 5;
    const std::size_t heap_before = get_heap_bytes();
    configuration_fold fold;
    {
        configuration_delta first{.set = make_entries(organisations), .removed = {}};
        boost::json::object set;
        for (const auto& [path, text] : first.set) {
            set[path] = boost::json::parse(text);
        }
        fold.on_record(0,
                       {.writer = {.host = "operator", .incarnation = 1},
                        .sequence = 1,
                        .condition = record_condition{.subject = std::string(configuration_subject), .supersedes = {}},
                        .fence = {},
                        .type = std::string(configuration_delta_type),
                        .body = {{"set", std::move(set)}, {"removed", boost::json::array()}}});
    }
    const std::size_t entries_heap = get_heap_bytes() - heap_before;
    auto parsed = std::make_shared<fleet::manifest>(fleet::parse_manifest(fold.get()->entries));
    const std::size_t manifest_heap = get_heap_bytes() - heap_before - entries_heap;
    std::vector<double> fold_seconds;
    std::vector<double> parse_seconds;
    std::size_t peak_heap = 0;
    for (std::uint64_t offset = 1; offset <= deltas; ++offset) {
        const std::shared_ptr<const configuration> previous = fold.get();
        const double start = get_cpu_seconds();
        const boost::json::object set{{"organisations/organisation-00001", {{"weight", offset}}}};
        fold.on_record(offset, {.writer = {.host = "operator", .incarnation = 1},
                                .sequence = offset + 1,
                                .condition = record_condition{.subject = std::string(configuration_subject),
                                                              .supersedes = offset - 1},
                                .fence = {},
                                .type = std::string(configuration_delta_type),
                                .body = {{"set", set}, {"removed", boost::json::array()}}});
        const double folded = get_cpu_seconds();
        auto next = std::make_shared<fleet::manifest>(fleet::parse_manifest(fold.get()->entries));
        peak_heap = std::max(peak_heap, get_heap_bytes() - heap_before);
        parsed = next;
        fold_seconds.push_back(folded - start);
        parse_seconds.push_back(get_cpu_seconds() - folded);
    }
    std::sort(fold_seconds.begin(), fold_seconds.end());
    std::sort(parse_seconds.begin(), parse_seconds.end());
    print({{"part", "configuration"},
           {"organisations", organisations},
           {"entries", fold.get()->entries.size()},
           {"entries_heap_bytes", entries_heap},
           {"manifest_heap_bytes", manifest_heap},
           {"peak_heap_bytes", peak_heap},
           {"fold_cpu_seconds_per_delta", fold_seconds[deltas / 2]},
           {"parse_cpu_seconds_per_delta", parse_seconds[deltas / 2]}});
}

/// Folds so many conditional records, as claims and orders are, each of a subject of its own.
void measure_records(std::size_t records) {
    std::vector<std::string> encoded;
    for (std::size_t index = 0; index < records; ++index) {
        encoded.push_back(encode_record(
            {.writer = {.host = get_host(index % 410), .incarnation = 1764828000000000},
             .sequence = index + 1,
             .condition = record_condition{.subject = fmt::format("claim/{:032}", index), .supersedes = {}},
             .fence = fencing_token{.scope = "claims/7", .number = 0},
             .type = "claim.running",
             .body = {{"organisation", "organisation-00001"}, {"key", fmt::format("{:032}", index)}}}));
    }
    const std::size_t heap_before = get_heap_bytes();
    const double start = get_cpu_seconds();
    record_fold fold;
    fold.apply(0, {.writer = {.host = get_host(0), .incarnation = 1},
                   .sequence = 1,
                   .condition = record_condition{.subject = get_lease_subject("claims/7"), .supersedes = {}},
                   .fence = {},
                   .type = std::string(lease_claim_type),
                   .body = {{"scope", "claims/7"}}});
    std::size_t valid = 0;
    for (std::size_t index = 0; index < records; ++index) {
        valid += fold.apply(index + 1, decode_record(encoded[index])) == record_verdict::valid ? 1 : 0;
    }
    const double cpu = get_cpu_seconds() - start;
    print({{"part", "records"},
           {"records", records},
           {"valid", valid},
           {"record_bytes", encoded.front().size()},
           {"fold_cpu_seconds", cpu},
           {"fold_heap_bytes", get_heap_bytes() - heap_before}});
}

/// Folds the use of so many rows: an organisation at a daemon in a window. Each record carries the rows of a flush.
void measure_usage(std::size_t rows) {
    constexpr std::size_t daemons = 10;
    constexpr std::size_t rows_in_record = 100;
    const std::size_t heap_before = get_heap_bytes();
    usage_fold fold;
    double cpu = 0;
    std::size_t bytes = 0;
    std::uint64_t sequence = 0;
    for (std::size_t first = 0; first < rows; first += rows_in_record) {
        const writer_id owner{.host = get_host(sequence % daemons), .incarnation = 1764828000000000};
        usage_table table;
        for (std::size_t row = first; row < first + rows_in_record; ++row) {
            table[{.organisation = organisation_name(fmt::format("organisation-{:06}", row)), .window = 490230}] = {
                .requests = 20, .prompt_tokens = 40000, .completion_tokens = 6000};
        }
        const record_draft draft = make_usage_record(owner, table);
        const std::string encoded = encode_record({.writer = owner,
                                                   .sequence = ++sequence,
                                                   .condition = draft.condition,
                                                   .fence = draft.fence,
                                                   .type = draft.type,
                                                   .body = draft.body});
        bytes += encoded.size();
        const double start = get_cpu_seconds();
        fold.on_record(sequence, decode_record(encoded));
        cpu += get_cpu_seconds() - start;
    }
    print({{"part", "usage"},
           {"rows", rows},
           {"bytes", bytes},
           {"fold_cpu_seconds", cpu},
           {"fold_heap_bytes", get_heap_bytes() - heap_before}});
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const bool is_gossip = arguments.empty() || arguments.front() == "gossip";
    const bool is_configuration = arguments.empty() || arguments.front() == "configuration";
    if (is_gossip) {
        for (const std::uint16_t daemons : {10, 30, 100, 300}) {
            measure_gossip({.zones = 1, .daemons_in_zone = daemons});
        }
        for (const std::uint16_t in_zone : {3, 9, 37}) {
            measure_gossip({.zones = 11, .daemons_in_zone = in_zone});
        }
        std::size_t encoded_bytes = 0;
        const double cpu = measure_codec(encoded_bytes);
        print({{"part", "codec"}, {"encoded_bytes", encoded_bytes}, {"cpu_microseconds", cpu * 1e6}});
    }
    if (arguments.empty() || arguments.front() == "records") {
        for (const std::size_t count : {1000, 10000, 30000, 100000}) {
            measure_records(count);
        }
        for (const std::size_t count : {1000, 10000, 30000, 100000}) {
            measure_usage(count);
        }
    }
    if (is_configuration) {
        for (const std::size_t organisations : {100, 1000, 10000, 26000}) {
            measure_configuration(organisations);
        }
    }
    return 0;
}
