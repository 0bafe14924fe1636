#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.hpp"

namespace dragonflywell::coordination {

/// The position of a record in its stream. The first record of a stream has offset 0.
using log_offset = std::uint64_t;

/// One record as a read returned it.
struct log_entry {
    log_offset offset{};
    std::string data;
};

/// The result of one read.
struct log_batch {
    std::vector<log_entry> entries;
    /// The log still keeps records from this offset on. It is greater than the requested offset if retention has
    /// already deleted the requested record.
    log_offset oldest{};
    /// End of the stream at the time of the read: the offset that the next appended record gets.
    log_offset end{};
};

/// Thrown if the log did not answer in time. An append that failed this way may still take effect.
class log_unavailable_error : public error {
public:
    using error::error;
};

/// The platform's append-only log.
///
/// Thread safety: an implementation may be used by one thread at a time unless it documents otherwise.
class append_log {
public:
    append_log() = default;
    append_log(const append_log&) = delete;
    append_log& operator=(const append_log&) = delete;
    append_log(append_log&&) = delete;
    append_log& operator=(append_log&&) = delete;
    virtual ~append_log() = default;

    /// Appends the records in order and without gaps; returns the offset of the first one.
    /// Precondition: `records` is not empty. Throws `log_unavailable_error`; it is then unknown whether the records
    /// were appended.
    virtual log_offset append(std::string_view stream, std::span<const std::string> records) = 0;

    /// Returns up to `max_records` records from offset `from` on. If retention has deleted that record, the result
    /// begins at the oldest one that the log keeps. Throws `log_unavailable_error`.
    virtual log_batch read(std::string_view stream, log_offset from, std::size_t max_records) = 0;
};

} // namespace dragonflywell::coordination
