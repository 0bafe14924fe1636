#include "daemon/settings_file.hpp"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

#include "core/error.hpp"

using namespace dragonflywell;

namespace {

const std::string valid_settings = R"([host]
name = "h1"
zone = "z1"
address = "10.0.0.1"
[listen]
callers = "10.0.0.1:80"
ready = "10.0.0.1:81"
metrics = "10.0.0.1:82"
hosts = "10.0.0.1:83"
[store]
address = "10.0.0.9:8000"
[orders]
address = ""
[bounds]
server_heartbeat_ms = 1200
contact_ms = 3000
drain_ms = 2000
stop_s = 8
configuration_ms = 2000
lease_ms = 3000
repeats_per_request = 0.2
repeats_besides = 52
repeats_window_s = 10
usage_window_s = 5
usage_due_s = 10
)";

std::string replace(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

/// A temporary file that is removed at the end of the test.
class written_file {
public:
    explicit written_file(const std::string& text) : m_path(std::tmpnam(nullptr)) { write(text); }
    written_file(const written_file&) = delete;
    written_file& operator=(const written_file&) = delete;
    written_file(written_file&&) = delete;
    written_file& operator=(written_file&&) = delete;
    ~written_file() { static_cast<void>(std::remove(m_path.c_str())); }

    void write(const std::string& text) const { std::ofstream(m_path) << text; }
    void remove() const { static_cast<void>(std::remove(m_path.c_str())); }
    [[nodiscard]] const std::string& get_path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace

TEST_CASE("the settings of a host are parsed, and every problem is listed with its line") {
    const daemon::host_settings settings = daemon::parse_host_settings(valid_settings, "f");
    CHECK(settings.name == host_name("h1"));
    CHECK(settings.bounds.drain == std::chrono::seconds(2));
    CHECK(settings.orders.port == 0);
    CHECK(settings.capacity == daemon::default_capacity);
    std::string invalid = replace(valid_settings, "10.0.0.1:81", "nowhere");
    invalid = replace(invalid, "drain_ms = 2000", "drain_ms = -1");
    invalid += "surplus = 1\n";
    try {
        static_cast<void>(daemon::parse_host_settings(invalid, "f"));
        FAIL("invalid settings were accepted");
    } catch (const invalid_input_error& fault) {
        const std::string what = fault.what();
        CAPTURE(what);
        CHECK(what.find("f:7") != std::string::npos);
        CHECK(what.find("f:17") != std::string::npos);
        CHECK(what.find("surplus") != std::string::npos);
    }
}

TEST_CASE("what a host can bear comes from its settings, or else from the environment") {
    const std::string stated =
        replace(valid_settings, "address = \"10.0.0.1\"", "address = \"10.0.0.1\"\nlink_mbps = 20.0\ncpu_share = 0.12");
    CHECK(daemon::parse_host_settings(stated, "f").capacity ==
          policy::host_capacity{.link_bytes_per_second = 2'500'000, .core_thousandths = 120});
    ::setenv("HOST_LINK_MBPS", "200.0", 1);
    ::setenv("HOST_CPU_SHARE", "", 1);
    const policy::host_capacity capacity = daemon::read_capacity_from_environment();
    CHECK(capacity == policy::host_capacity{.link_bytes_per_second = 25'000'000, .core_thousandths = 1000});
    CHECK(daemon::parse_host_settings(valid_settings, "f", capacity).capacity == capacity);
    for (const char* text : {"0", "-1", "much", "20x", "nan", "1e99"}) {
        CAPTURE(text);
        ::setenv("HOST_LINK_MBPS", text, 1);
        CHECK_THROWS_AS(static_cast<void>(daemon::read_capacity_from_environment()), invalid_input_error);
    }
    ::unsetenv("HOST_LINK_MBPS");
    ::unsetenv("HOST_CPU_SHARE");
}

TEST_CASE("a replaced settings file is detected without a signal, and a missing file does not count as changed") {
    const written_file written(valid_settings);
    daemon::settings_file file(written.get_path());
    static_cast<void>(file.read());
    CHECK_FALSE(file.has_changed());
    written.write(valid_settings + "[log]\nlevel = \"warn\"\n");
    CHECK(file.has_changed());
    CHECK(file.read().log.level == "warn");
    CHECK_FALSE(file.has_changed());
    written.remove();
    CHECK_FALSE(file.has_changed());
    CHECK_THROWS_AS(static_cast<void>(file.read()), invalid_input_error);
}

TEST_CASE("changed sections that need a restart are listed") {
    const daemon::host_settings before = daemon::parse_host_settings(valid_settings, "f");
    const std::string changed =
        replace(replace(valid_settings, "drain_ms = 2000", "drain_ms = 2500"), "10.0.0.9", "10.0.0.8");
    const daemon::host_settings after = daemon::parse_host_settings(changed, "f");
    CHECK(daemon::list_sections_for_restart(before, before).empty());
    CHECK(daemon::list_sections_for_restart(before, after) == std::vector<std::string>{"store", "bounds"});
}
