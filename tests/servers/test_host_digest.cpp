#include <doctest/doctest.h>

#include "core/error.hpp"
#include "servers/event_splitter.hpp"
#include "servers/host_digest.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;
using namespace std::chrono_literals;

TEST_CASE("a digest is unchanged after encoding and decoding") {
    const host_digest digest{
        .host = "h",
        .zone = zone_name("z"),
        .group = "z/0",
        .incarnation = 1774100506431000,
        .sequence = 9,
        .corrected_time = wall_time(1774100506431ms),
        .capacity = {.link_bytes_per_second = 2'500'000, .core_thousandths = 120},
        .is_stopping = true,
        .is_cut_off = true,
        .engines =
            {{backend_server_name("e"),
              {.running = 2, .running_tokens = 30, .prompts = {{.number = 4, .age = 5ms, .cost = 6ms, .urgency = 3}}}}},
        .instances = {{backend_server_name("s"), 3}},
        .prefix_accesses = {{.engine = backend_server_name("e"), .parts = {{.id = 0xffffffffffffffff, .tokens = 8}}}},
        .transitions = {{backend_server_name("e"), {.stage = fleet::engine_stage::prefill, .remaining = 7s}}},
        .ejections = {{backend_server_name("f"), 300ms}},
        .prefill_demand = {{service_name("llm"), 3s}},
        .usage = {{357732848, {{organisation_name("o"), 12}}}},
        .recorded_usage = servers::digest_recorded_usage{.window = 357732847,
                                                         .incarnations = {{.host = "h2", .incarnation = 5}},
                                                         .era = 3},
        .loads = {{service_name("llm"), {.backlog = 40ms, .utilisation = 0.25, .running = 9}}},
        .crashes = {{.fingerprint = 7, .crash_id = 8, .moment = wall_time(9s)}},
        .holds_lease = true,
        .configuration = digest_read_position{.end = log_position{.era = 2, .offset = 4}, .age = 20ms},
        .servers = {}};
    CHECK(decode_host_digest(encode_host_digest(digest)) == digest);
}

TEST_CASE("a shortened record of a crash keeps which requests of the crash it is of") {
    host_digest digest;
    digest.host = "h";
    digest.corrected_time = wall_time(9s);
    digest.part_crashes = {{.crash_id = 8, .parts = {1, 2}, .moment = wall_time(9s), .requests = 0x8000000000000001},
                           {.crash_id = 9, .parts = {3}, .moment = wall_time(9s)}};
    CHECK(decode_host_digest(encode_host_digest(digest)).part_crashes == digest.part_crashes);
}

TEST_CASE("the sizes of the items of a digest add up to what they make it longer") {
    const digest_prefix_access access{.engine = backend_server_name("e"),
                                      .parts = {{.id = 0xffffffffffffffff, .tokens = 8}, {.id = 1, .tokens = 9}}};
    const policy::engine_crash crash{.fingerprint = 7, .crash_id = 0xffffffffffffffff, .moment = wall_time(9s)};
    const policy::part_crash part_crash{
        .crash_id = 8, .parts = {1, 2, 3}, .moment = wall_time(9s), .requests = 0xffffffffffffffff};
    const policy::part_clearance clearance{.part = 8, .moment = wall_time(9s)};
    host_digest digest;
    digest.part_crashes = {part_crash};
    digest.part_clearances = {clearance};
    const std::size_t before = encode_host_digest(digest).size();
    for (int item = 0; item < 3; ++item) {
        digest.prefix_accesses.push_back(access);
        digest.crashes.push_back(crash);
        digest.part_crashes.push_back(part_crash);
        digest.part_clearances.push_back(clearance);
    }
    const std::size_t sizes =
        get_encoded_size(access) + get_encoded_size(crash) + get_encoded_size(part_crash) + get_encoded_size(clearance);
    const std::size_t added = encode_host_digest(digest).size() - before;
    CHECK(added <= 3 * sizes);
    // The first item of a list has no separator before it.
    CHECK(added + 2 >= 3 * sizes);
}

TEST_CASE("a negative duration is sent as zero and does not make the digest invalid") {
    host_digest digest;
    digest.host = "h";
    digest.corrected_time = wall_time(9s);
    digest.transitions = {{backend_server_name("e"), {.stage = fleet::engine_stage::prefill, .remaining = -7s}}};
    digest.servers = digest_read_position{.end = log_position{.era = 2, .offset = 4}, .age = -20ms};
    const host_digest decoded = decode_host_digest(encode_host_digest(digest));
    CHECK(decoded.transitions.at(backend_server_name("e")).remaining == 0s);
    CHECK(decoded.servers->age == 0s);
}

TEST_CASE("a digest carries the checksum of the server list, and what its sender misses of it") {
    host_digest digest;
    digest.host = "h";
    digest.corrected_time = wall_time(9s);
    digest.servers = digest_read_position{
        .end = log_position{.era = 2, .offset = 4}, .age = 20ms, .checksum = 18'446'744'073'709'551'615U};
    digest.missing_servers_from = log_position{.era = 2, .offset = 3};
    CHECK(decode_host_digest(encode_host_digest(digest)) == digest);
}

TEST_CASE("an empty digest is accepted, and malformed text is rejected") {
    const char* empty =
        R"({"h":"h","z":"z","g":"g","i":1,"n":1,"w":1,"e":{},"p":{},"t":[],"c":{},"r":{},"u":[],"d":[],"m":{},"rc":[],"rs":[]})";
    CHECK(decode_host_digest(empty).host == "h");
    for (
        const char* text :
        {"", "{}", "[]",
         R"({"h":"h","z":"z","g":"g","i":1,"n":1,"w":1,"e":{"x":[1]},"p":{},"t":[],"c":{},"r":{},"u":[],"d":[],"m":{},"rc":[],"rs":[]})",
         R"({"h":"h","z":"z","g":"g","i":1,"n":1,"w":1,"e":{},"p":{"s":-1},"t":[],"c":{},"r":{},"u":[],"d":[],"m":{},"rc":[],"rs":[]})",
         R"({"h":"h","z":"z","g":"g","i":1,"n":1,"w":1,"e":{},"p":{},"t":[],"c":{},"r":{},"u":[],"d":[],"m":{},"rc":[1,2,-1],"rs":[]})",
         R"({"h":"h","z":"z","g":"g","i":1,"n":1,"w":1,"e":{},"p":{},"t":[],"c":{},"r":{},"u":[],"d":[],"m":{},"rc":[],"rs":[1,2,99999999999]})",
         R"({"h":"h","z":"z","g":"g","i":1,"n":1,"w":1,"e":{},"p":{},"t":[[1,[]]],"c":{},"r":{},"u":[],"d":[],"m":{},"rc":[],"rs":[]})"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(static_cast<void>(decode_host_digest(text)), malformed_message_error);
    }
}

TEST_CASE("a stream is split at the ends of events without a changed byte, wherever its pieces end") {
    const std::string stream = "id: 1\ndata: a\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        CAPTURE(piece);
        event_splitter splitter;
        std::string passed;
        for (std::size_t start = 0; start < stream.size(); start += piece) {
            splitter.add_bytes(std::string_view(stream).substr(start, piece));
            passed += splitter.take_events();
        }
        CHECK(passed == stream.substr(0, stream.find("id: 3")));
        CHECK(splitter.get_last_id() == "2");
        CHECK(splitter.has_partial_event());
        splitter.drop_partial_event();
        splitter.add_bytes("id: 3\ndata: d\n\n");
        CHECK(splitter.take_events() == "id: 3\ndata: d\n\n");
        CHECK(splitter.get_last_id() == "3");
    }
}

TEST_CASE("extra empty lines after an event are passed on and do not count as an incomplete event") {
    event_splitter splitter;
    std::string passed;
    const std::string stream = "\r\nid: 1\ndata: a\n\n\n\r\nid: 2\ndata: b\n\n\n";
    for (const char byte : stream) {
        splitter.add_bytes(std::string_view(&byte, 1));
        passed += splitter.take_events();
    }
    CHECK(passed == stream);
    CHECK_FALSE(splitter.has_partial_event());
    CHECK(splitter.get_last_id() == "2");
}

TEST_CASE("a line that ends with a lone carriage return is a separate line, so that its id is found") {
    event_splitter splitter;
    splitter.add_bytes("\rid: 7\rdata: a\n\n");
    CHECK(splitter.take_events() == "\rid: 7\rdata: a\n\n");
    CHECK(splitter.get_last_id() == "7");
}
