#include <doctest/doctest.h>

#include <array>
#include <fmt/format.h>

#include "crowd/caller_crowd.hpp"
#include "crowd/crowd_host.hpp"

using namespace dragonflywell;
using dragonflywell::testing::caller_crowd;
using dragonflywell::testing::crowd_host;
using dragonflywell::testing::crowd_load;

namespace {

constexpr std::size_t body_bytes = 4UL * 1024 * 1024;
constexpr std::size_t callers = 64;
constexpr std::size_t many_callers = 400;
constexpr unsigned status_ok = 200;
/// The stated target: a host with 120 MB stays under 80 MB.
constexpr std::size_t max_memory_kb = 80'000;
#ifdef __SANITIZE_ADDRESS__
/// The address sanitizer keeps freed memory, so that the size of the process says nothing.
constexpr bool is_memory_comparable = false;
#else
constexpr bool is_memory_comparable = true;
#endif

std::map<std::string, std::string> make_environment() {
    return {{"HOST_MEMORY_MB", "120"}, {"HOST_MAX_DESCRIPTORS", "3075"}};
}

/// Where a crowd sends its requests.
struct crowd_target {
    const char* name{};
    bool is_ready_address{false};
    const char* path{};
    bool has_key{true};
};

constexpr crowd_target with_route{.name = "a path with a route", .path = "/safe/x"};
constexpr crowd_target without_key{.name = "a path with a route, without a key", .path = "/safe/x", .has_key = false};
constexpr crowd_target without_route{.name = "a path without a route", .path = "/nowhere/x"};
constexpr crowd_target readiness{.name = "the readiness address", .is_ready_address = true, .path = "/"};
constexpr std::array all_targets{with_route, without_key, without_route, readiness};

std::string make_head(const crowd_target& target, const std::string& method, const std::string& fields) {
    return fmt::format("{} {} HTTP/1.1\r\nHost: host.example\r\nDragonflywell-Attempt-Id: a1\r\n{}{}\r\n", method,
                       target.path, target.has_key ? "Api-Key: secret\r\n" : "", fields);
}

/// Runs one crowd against one daemon and checks what must hold afterwards, while the crowd is still connected.
void check_crowd(const crowd_target& target, std::size_t size, const crowd_load& load) {
    INFO("at ", std::string(target.name));
    crowd_host host(make_environment());
    caller_crowd crowd;
    crowd.send(target.is_ready_address ? host.get_ready() : host.get_callers(), size, load);
    CHECK(host.is_running());
    CHECK(host.ask("small body") == status_ok);
    CHECK(host.ask_ready() == status_ok);
    host.wait_until_quiet();
    MESSAGE(std::string(target.name), ": peak memory ", host.get_peak_memory_kb(), " kB, descriptors ",
            host.get_open_descriptors());
    CHECK((!is_memory_comparable || host.get_peak_memory_kb() < max_memory_kb));
}

void check_crowd_everywhere(std::size_t size, const std::string& method, const std::string& fields,
                            const std::string& piece, std::size_t pieces) {
    for (const crowd_target& target : all_targets) {
        check_crowd(target, size, {.beginning = make_head(target, method, fields), .piece = piece, .pieces = pieces});
    }
}

std::string make_chunk(std::size_t bytes) {
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'a'));
}

} // namespace

// Guards against a host that collects the bodies of all callers at once.
TEST_CASE("bodies that stop one byte short") {
    constexpr std::size_t piece_bytes = 60'787;
    constexpr std::size_t pieces = 69;
    static_assert(piece_bytes * pieces + 1 == body_bytes);
    const std::string length = fmt::format("Content-Length: {}\r\n", body_bytes);
    check_crowd_everywhere(callers, "POST", length, std::string(piece_bytes, 'a'), pieces);
}

// Guards against a cost of each read that adds up.
TEST_CASE("bodies in small pieces that stop one byte short") {
    constexpr std::size_t piece_bytes = 2049;
    constexpr std::size_t pieces = 2047;
    static_assert(piece_bytes * pieces + 1 == body_bytes);
    const std::string length = fmt::format("Content-Length: {}\r\n", body_bytes);
    check_crowd_everywhere(callers, "POST", length, std::string(piece_bytes, 'a'), pieces);
}

// Guards against a bound that counts stated lengths only.
TEST_CASE("chunked bodies without an end") {
    constexpr std::size_t chunk_bytes = 60UL * 1024;
    check_crowd_everywhere(callers, "POST", "Transfer-Encoding: chunked\r\n", make_chunk(chunk_bytes),
                           body_bytes / chunk_bytes);
}

// Guards against a cost of each chunk that is much larger than the chunk.
TEST_CASE("chunks of one byte") {
    constexpr std::size_t chunks_in_piece = 1000;
    constexpr std::size_t pieces = 60;
    std::string piece;
    for (std::size_t number = 0; number < chunks_in_piece; ++number) {
        piece += make_chunk(1);
    }
    check_crowd_everywhere(callers, "POST", "Transfer-Encoding: chunked\r\n", piece, pieces);
}

// Guards against a limit that is checked only once the body has been read.
TEST_CASE("bodies far over the limit") {
    constexpr std::size_t piece_bytes = 64UL * 1024;
    constexpr std::size_t pieces = 3 * body_bytes / piece_bytes;
    const std::string length = fmt::format("Content-Length: {}\r\n", 250 * body_bytes);
    check_crowd_everywhere(callers, "POST", length, std::string(piece_bytes, 'a'), pieces);
    check_crowd_everywhere(callers, "POST", "Transfer-Encoding: chunked\r\n", make_chunk(piece_bytes), pieces);
}

// Guards against a budget that counts the bytes of a head and not what its parsed fields hold.
TEST_CASE("many short fields before an unfinished body") {
    constexpr int field_count = 2500;
    std::string fields = "Content-Length: 100\r\n";
    for (int number = 0; number < field_count; ++number) {
        fields += "a:b\r\n";
    }
    check_crowd_everywhere(many_callers, "POST", fields, "a", 10);
}

// Guards against responses that pile up for a caller that does not read them.
TEST_CASE("pipelined requests on each connection without reading the responses") {
    constexpr std::size_t requests = 2000;
    for (const crowd_target& target : all_targets) {
        const std::string request = make_head(target, "GET", "");
        check_crowd(target, callers, {.beginning = {}, .piece = request, .pieces = requests});
    }
}

// Guards against heads that are kept for as long as a caller likes.
TEST_CASE("half-sent heads") {
    constexpr std::size_t field_bytes = 15'000;
    for (const crowd_target& target : all_targets) {
        std::string head = make_head(target, "POST", "X: " + std::string(field_bytes, 'a') + "\r\n");
        head.resize(head.size() - 2);
        check_crowd(target, many_callers, {.beginning = head, .piece = {}, .pieces = 0});
    }
}

// Guards against complete responses, and events of streams, that pile up for callers that do not read.
TEST_CASE("responses that nobody reads") {
    const crowd_target large{.name = "a large response", .path = "/safe/large"};
    check_crowd(large, callers, {.beginning = make_head(large, "GET", ""), .piece = {}, .pieces = 0});
    const crowd_target generation{.name = "a long stream", .path = "/gen/x"};
    const std::string fields = "Dragonflywell-Model: m\r\nDragonflywell-Token-Count: 100,400\r\n"
                               "Dragonflywell-Prompt-Prefix: a1:60,b2:40\r\nContent-Length: 0\r\n";
    check_crowd(generation, callers, {.beginning = make_head(generation, "POST", fields), .piece = {}, .pieces = 0});
}

// Guards against callers that take the descriptors that calls to servers and the store need.
TEST_CASE("more connections than descriptors") {
    constexpr std::size_t max_descriptors = 200;
    constexpr std::size_t connections = 400;
    auto environment = make_environment();
    environment["HOST_MAX_DESCRIPTORS"] = std::to_string(max_descriptors);
    for (const bool is_ready_address : {false, true}) {
        crowd_host host(environment);
        caller_crowd crowd;
        crowd.send(is_ready_address ? host.get_ready() : host.get_callers(), connections,
                   {.beginning = "GET / HT", .piece = {}, .pieces = 0});
        CHECK(host.is_running());
        MESSAGE("descriptors ", host.get_open_descriptors());
        CHECK(host.get_open_descriptors() < max_descriptors);
        CHECK(host.ask("small body") == status_ok);
        CHECK(host.ask_ready() == status_ok);
    }
}

// Guards against limits that meet a caller within the configured ones.
TEST_CASE("a single request within the limits is served whatever its size") {
    crowd_host host(make_environment());
    CHECK(host.ask(std::string(body_bytes, 'a')) == status_ok);
    CHECK(host.ask(std::string(body_bytes, 'a')) == status_ok);
    CHECK((!is_memory_comparable || host.get_peak_memory_kb() < max_memory_kb));
}
