#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/append_log.hpp"
#include "core/clock.hpp"

namespace dragonflywell::testing {

/// One order as its receiver saw it.
struct order_arrival {
    steady_time when;
    std::string key;
    std::uint64_t fencing_number{};
    bool is_applied{false};
};

/// One record as the log got it.
struct logged_record {
    steady_time when;
    std::string data;
};

/// A configuration that one process put in force.
struct forced_configuration {
    /// Host and incarnation.
    std::string process;
    coordination::log_offset version{};
    std::map<std::string, std::string> entries;
};

/// What the operator of one delta was told.
struct told_publication {
    std::string path;
    std::string text;
    /// Absent when it was told that another came first.
    std::optional<coordination::log_offset> version;
};

/// Everything that was seen outside the code under test.
struct matrix_evidence {
    std::map<std::string, std::vector<logged_record>> streams;
    std::map<std::string, std::vector<order_arrival>> arrivals;
    std::vector<forced_configuration> forced;
    std::vector<told_publication> publications;
    /// The newest version of each process that still ran at the end.
    std::map<std::string, coordination::log_offset> final_versions;
    steady_time end;
};

} // namespace dragonflywell::testing
