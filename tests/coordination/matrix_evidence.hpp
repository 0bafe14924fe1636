#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/append_log.hpp"
#include "core/clock.hpp"

namespace dragonflywell::testing {

/// One order that arrived at a receiver.
struct order_arrival {
    steady_time when;
    std::string key;
    std::uint64_t fencing_number{};
    bool is_applied{false};
};

/// One record that was appended to the log.
struct logged_record {
    steady_time when;
    std::string data;
};

/// A configuration that one process applied.
struct applied_configuration {
    /// Host and incarnation.
    std::string process;
    coordination::log_offset version{};
    std::map<std::string, std::string> entries;
};

/// The result of one publication as reported to its operator.
struct publication_result {
    std::string path;
    std::string text;
    /// Absent if a conflict was reported.
    std::optional<coordination::log_offset> version;
};

/// Everything that was observed outside the code under test.
struct matrix_evidence {
    std::map<std::string, std::vector<logged_record>> streams;
    std::map<std::string, std::vector<order_arrival>> arrivals;
    std::vector<applied_configuration> applied;
    std::vector<publication_result> publications;
    /// The configuration version of each process that still ran at the end.
    std::map<std::string, coordination::log_offset> final_versions;
    steady_time end;
};

} // namespace dragonflywell::testing
