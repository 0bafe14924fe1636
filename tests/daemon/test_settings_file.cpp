#include "daemon/settings_file.hpp"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

#include "core/error.hpp"

using namespace dragonflywell;

namespace {

const std::string sound = R"([host]
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

/// A file that is there for as long as the test runs.
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

TEST_CASE("settings of a host are read; every problem is named with its line") {
    const daemon::host_settings settings = daemon::parse_host_settings(sound, "f");
    CHECK(settings.name == host_name("h1"));
    CHECK(settings.bounds.drain == std::chrono::seconds(2));
    CHECK(settings.orders.port == 0);
    std::string broken = replace(sound, "10.0.0.1:81", "nowhere");
    broken = replace(broken, "drain_ms = 2000", "drain_ms = -1");
    broken += "surplus = 1\n";
    try {
        static_cast<void>(daemon::parse_host_settings(broken, "f"));
        FAIL("broken settings were taken");
    } catch (const invalid_input_error& fault) {
        const std::string what = fault.what();
        CAPTURE(what);
        CHECK(what.find("f:7") != std::string::npos);
        CHECK(what.find("f:17") != std::string::npos);
        CHECK(what.find("surplus") != std::string::npos);
    }
}

TEST_CASE("a settings file that was replaced is noticed without a signal, one that is away is not a change") {
    const written_file written(sound);
    daemon::settings_file file(written.get_path());
    static_cast<void>(file.read());
    CHECK_FALSE(file.has_changed());
    written.write(sound + "[log]\nlevel = \"warn\"\n");
    CHECK(file.has_changed());
    CHECK(file.read().log.level == "warn");
    CHECK_FALSE(file.has_changed());
    written.remove();
    CHECK_FALSE(file.has_changed());
    CHECK_THROWS_AS(static_cast<void>(file.read()), invalid_input_error);
}

TEST_CASE("sections that need a restart are named") {
    const daemon::host_settings before = daemon::parse_host_settings(sound, "f");
    const std::string changed = replace(replace(sound, "drain_ms = 2000", "drain_ms = 2500"), "10.0.0.9", "10.0.0.8");
    const daemon::host_settings after = daemon::parse_host_settings(changed, "f");
    CHECK(daemon::list_sections_for_restart(before, before).empty());
    CHECK(daemon::list_sections_for_restart(before, after) == std::vector<std::string>{"store", "bounds"});
}
